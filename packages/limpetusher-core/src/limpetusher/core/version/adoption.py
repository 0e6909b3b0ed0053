"""Adoption of newer configurations and host lists by all parts that depend on them."""

from limpetusher.configuration.compiled import Configuration, HostList
from limpetusher.core.context import Context
from limpetusher.core.process.dispatch import Dispatcher
from limpetusher.core.process.exchange import Exchange
from limpetusher.core.process.offers import Offers
from limpetusher.core.request.lifecycle import Lifecycle
from limpetusher.events import Event


class Adoption:
    """Puts configurations and host lists in force.

    Parameters
    ----------
    context
        The router's parts.
    exchange, dispatcher, offers, lifecycle
        Parts that depend on the configuration or the host list.
    """

    def __init__(
        self,
        context: Context,
        *,
        exchange: Exchange,
        dispatcher: Dispatcher,
        offers: Offers,
        lifecycle: Lifecycle,
    ):
        self.context = context
        self.exchange = exchange
        self.dispatcher = dispatcher
        self.offers = offers
        self.lifecycle = lifecycle

    def offer_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force if it is newer than the present one."""
        context = self.context
        change = context.rollout.offer(configuration, context.now)
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
        self.update_parts()
        self.lifecycle.refuse_unservable()

    def offer_hosts(self, host_list: HostList) -> None:
        """Put a host list in force if it is newer than the present one."""
        context = self.context
        if not context.rollout.hosts(host_list, context.now):
            return
        context.shares.hosts_changed(context.now)
        self.exchange.hosts_changed()
        self.lifecycle.keyed.apply(context.witness.hosts_changed(host_list, context.now))
        context.log(Event.HOST_LIST_IN_FORCE, version=host_list.version)
        self.update_parts()

    def update_parts(self) -> None:
        """Bring everything up to date that depends on both, and tell the peers at once."""
        context = self.context
        configuration = context.rollout.configuration
        if configuration is not None:
            context.ledger.configure(context.membership.targets(), configuration.target_classes)
            self.dispatcher.keep_targets(context.ledger.targets)
            self.offers.keep_targets(context.ledger.targets)
        self.exchange.owners_changed()
        self.exchange.tick()
