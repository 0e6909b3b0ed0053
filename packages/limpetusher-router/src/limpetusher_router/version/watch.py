"""Watches the platform's configuration service."""

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
from limpetusher_router.connection.fetching import DocumentFetcher, FetchedDocument
from limpetusher_router.events import CONFIGURATION, CORE, CoreInput, DeadlineReached
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.settings import RouterSettings
from limpetusher_router.version.backoff import Backoff

FIRST_RETRY_SECONDS = 0.2
MAXIMUM_RETRY_SECONDS = 3.0
ANSWER_TIMEOUT_MARGIN_SECONDS = 3.0
MAXIMUM_LOGGED_PROBLEMS = 10

logger = logging.getLogger(__name__)


def platform_addresses(settings: RouterSettings) -> list[str]:
    """Return the addresses of the platform URLs."""
    return [urlsplit(url).netloc for url in settings.platform_urls]


class ConfigurationWatch(DocumentFetcher):
    """Holds a long poll open while the core requests it, and passes valid documents to the core."""

    channel = CONFIGURATION

    def __init__(self, settings: RouterSettings, *, deadlines: Deadlines, rng: random.Random):
        super().__init__()
        self.settings = settings
        self.deadlines = deadlines
        self.addresses = platform_addresses(settings)
        self.backoff = Backoff(rng, first_seconds=FIRST_RETRY_SECONDS, maximum_seconds=MAXIMUM_RETRY_SECONDS)
        self.watching = False
        self.version = 0
        self.last_refused_document = b""
        self.unreachable = False
        self.poll_number = 0

    @handler("CoreAction")
    def on_action(self, action: WatchConfiguration) -> None:
        """Start or stop watching."""
        if action.active == self.watching:
            return
        self.watching = action.active
        if self.watching:
            self.start_poll()
        else:
            self.cancel_fetch((self.poll_number,))
            self.poll_number += 1

    @handler("ConfigurationChanged")
    def on_configuration(self, configuration: Configuration) -> None:
        """Poll for versions after this one."""
        self.version = configuration.version

    @handler("DeadlineReached")
    def on_due(self, subject: int) -> None:
        """Start the next long poll, after an answer or a failure."""
        if self.watching and subject == self.poll_number:
            self.start_poll()

    def start_poll(self) -> None:
        """Start a long poll."""
        self.poll_number += 1
        wait_seconds = self.settings.watch_wait_seconds
        path = f"/configuration?after={self.version}&wait={wait_seconds:g}"
        self.fetch(
            (self.poll_number,),
            self.addresses[0],
            path,
            idle_timeout_seconds=wait_seconds + ANSWER_TIMEOUT_MARGIN_SECONDS,
        )

    def on_fetched(self, key: tuple, answer: FetchedDocument) -> None:
        """Process the answer of a long poll and schedule the next one."""
        if key != (self.poll_number,):
            return
        if answer.error or answer.status not in (200, 204):
            self.handle_failure(answer.error or f"status {answer.status}")
            return
        self.unreachable = False
        if answer.status == 200 and not self.submit_document(bytes(answer.body)):
            self.schedule_retry()
            return
        self.backoff.reset()
        # The next poll starts after the core has handled the document, so that it requests later versions.
        self.deadlines.schedule_in(0.0, DeadlineReached(self.poll_number), CONFIGURATION)

    def handle_failure(self, reason: str) -> None:
        """Log the first failure in a row, and retry with the next address after a delay."""
        if not self.unreachable:
            self.unreachable = True
            log_event(Event.CONFIGURATION_SERVICE_UNREACHABLE, address=self.addresses[0], reason=reason)
        self.addresses = [*self.addresses[1:], self.addresses[0]]
        self.schedule_retry()

    def schedule_retry(self) -> None:
        """Schedule the next long poll after the backoff delay."""
        self.deadlines.schedule_in(
            self.backoff.next_delay(), DeadlineReached(self.poll_number), CONFIGURATION
        )

    def submit_document(self, document: bytes) -> bool:
        """Pass a valid document to the core, and return whether it is newer than the one in force."""
        try:
            configuration = load_configuration(document)
        except ConfigurationError as error:
            if document != self.last_refused_document:
                self.last_refused_document = document
                log_event(Event.CONFIGURATION_REFUSED, problems=error.problems[:MAXIMUM_LOGGED_PROBLEMS])
            return False
        self.fire(CoreInput(ConfigurationReceived(configuration)), CORE)
        return configuration.version > self.version
