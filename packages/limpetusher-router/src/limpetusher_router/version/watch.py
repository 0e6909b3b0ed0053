"""Watching the platform's configuration service."""

import logging
import random
from urllib.parse import urlsplit

from circuits.core import handler

from limpetusher.configuration.compiled import Configuration
from limpetusher.configuration.document import load_configuration
from limpetusher.core.actions import WatchConfiguration
from limpetusher.core.inputs import ConfigurationReceived
from limpetusher.errors import ConfigurationError
from limpetusher.events import Event
from limpetusher_router.connection.fetching import Fetched, Fetcher
from limpetusher_router.events import CONFIGURATION, CORE, CoreInput, Due
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.settings import RouterSettings
from limpetusher_router.version.backoff import Backoff

FIRST_RETRY_SECONDS = 0.2
MAXIMUM_RETRY_SECONDS = 3.0
ANSWER_SLACK_SECONDS = 3.0
LONGEST_PROBLEM_LIST = 10

logger = logging.getLogger(__name__)


def platform_addresses(settings: RouterSettings) -> list[str]:
    """Return the addresses of the platform's services."""
    return [urlsplit(url).netloc for url in settings.platform_urls]


class ConfigurationWatch(Fetcher):
    """Holds a long poll open while the core asks for it, and hands valid documents to the core."""

    channel = CONFIGURATION

    def __init__(self, settings: RouterSettings, *, deadlines: Deadlines, rng: random.Random):
        super().__init__()
        self.settings = settings
        self.deadlines = deadlines
        self.addresses = platform_addresses(settings)
        self.backoff = Backoff(rng, first=FIRST_RETRY_SECONDS, maximum=MAXIMUM_RETRY_SECONDS)
        self.active = False
        self.version = 0
        self.refused_document = b""
        self.unreachable = False
        self.round = 0

    @handler("CoreAction")
    def on_action(self, action: WatchConfiguration) -> None:
        """Start or stop watching."""
        if action.active == self.active:
            return
        self.active = action.active
        if self.active:
            self.watch()
        else:
            self.abandon((self.round,))
            self.round += 1

    @handler("ConfigurationInForce")
    def on_configuration(self, configuration: Configuration) -> None:
        """Ask for versions after this one from now on."""
        self.version = configuration.version

    @handler("Due")
    def on_due(self, subject: int) -> None:
        """Watch again after a failure."""
        if self.active and subject == self.round:
            self.watch()

    def watch(self) -> None:
        """Begin a long poll."""
        self.round += 1
        wait = self.settings.watch_wait_seconds
        path = f"/configuration?after={self.version}&wait={wait:g}"
        self.fetch((self.round,), self.addresses[0], path, idle_seconds=wait + ANSWER_SLACK_SECONDS)

    def fetched(self, key: tuple, answer: Fetched) -> None:
        """Use the answer of a long poll and begin the next one."""
        if key != (self.round,):
            return
        if answer.error or answer.status not in (200, 204):
            self.failed(answer.error or f"status {answer.status}")
            return
        self.unreachable = False
        if answer.status == 200 and not self.offer(bytes(answer.body)):
            self.watch_later()
            return
        self.backoff.reset()
        # The next poll starts after the core has handled the document, so that it asks for later ones.
        self.deadlines.schedule_in(0.0, Due(self.round), CONFIGURATION)

    def failed(self, reason: str) -> None:
        """Try another address later."""
        if not self.unreachable:
            self.unreachable = True
            log_event(Event.CONFIGURATION_SERVICE_UNREACHABLE, address=self.addresses[0], reason=reason)
        self.addresses = [*self.addresses[1:], self.addresses[0]]
        self.watch_later()

    def watch_later(self) -> None:
        """Begin the next long poll after a growing waiting time."""
        self.deadlines.schedule_in(self.backoff.next(), Due(self.round), CONFIGURATION)

    def offer(self, document: bytes) -> bool:
        """Hand a valid document to the core, and return whether it is newer than the one in force."""
        try:
            configuration = load_configuration(document)
        except ConfigurationError as error:
            if document != self.refused_document:
                self.refused_document = document
                log_event(Event.CONFIGURATION_REFUSED, problems=error.problems[:LONGEST_PROBLEM_LIST])
            return False
        self.fire(CoreInput(ConfigurationReceived(configuration)), CORE)
        return configuration.version > self.version
