"""Adoption of newer configurations and host lists by all components that depend on them."""

from limpetusher.configuration.compiled import Configuration, HostList
from limpetusher.core.context import Context
from limpetusher.core.process.dispatcher import Dispatcher
from limpetusher.core.process.heartbeat_exchange import HeartbeatExchange
from limpetusher.core.process.offers import Offers
from limpetusher.core.request.lifecycle import RequestLifecycle
from limpetusher.events import Event


class Adoption:
    """Puts configurations and host lists in force.

    Parameters
    ----------
    context
        Shared state of the decision core.
    exchange, dispatcher, offers, lifecycle
        Components that depend on the configuration or the host list.
    """

    def __init__(
        self,
        context: Context,
        *,
        exchange: HeartbeatExchange,
        dispatcher: Dispatcher,
        offers: Offers,
        lifecycle: RequestLifecycle,
    ):
        self.context = context
        self.exchange = exchange
        self.dispatcher = dispatcher
        self.offers = offers
        self.lifecycle = lifecycle

    def adopt_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force if it is newer than the present one."""
        context = self.context
        change = context.rollout.adopt_configuration(configuration, context.now)
        if not change.adopted:
            if change.older:
                context.log(Event.CONFIGURATION_OLDER_IGNORED, version=configuration.version)
            return
        context.fairness.set_shares(configuration.customers)
        context.fairness.set_services(configuration.services)
        context.retries.keep_customers(set(configuration.customers))
        context.log(
            Event.CONFIGURATION_IN_FORCE, version=configuration.version, digest=configuration.digest.hex()
        )
        self.update_components()
        self.lifecycle.refuse_unservable()

    def adopt_host_list(self, host_list: HostList) -> None:
        """Put a host list in force if it is newer than the present one."""
        context = self.context
        if not context.rollout.adopt_host_list(host_list, context.now):
            return
        context.slot_leases.hosts_changed(context.now)
        self.exchange.hosts_changed()
        self.lifecycle.keyed_requests.apply_results(
            context.key_protocol.hosts_changed(host_list, context.now)
        )
        context.log(Event.HOST_LIST_IN_FORCE, version=host_list.version)
        self.update_components()

    def update_components(self) -> None:
        """Update the components that depend on both, and send heartbeats at once."""
        context = self.context
        configuration = context.rollout.configuration
        if configuration is not None:
            context.ledger.configure(context.membership.targets(), configuration.target_classes)
            self.dispatcher.keep_targets(context.ledger.targets)
            self.offers.keep_targets(context.ledger.targets)
        self.exchange.owners_changed()
        self.exchange.tick()
