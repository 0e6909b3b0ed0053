"""Reads the platform's host list."""

import logging
import random

from circuits.core import handler

from limpetusher.configuration.document import load_host_list
from limpetusher.core.inputs import HostListReceived
from limpetusher.errors import ConfigurationError
from limpetusher_router.connection.fetching import DocumentFetcher, FetchedDocument
from limpetusher_router.events import CORE, HOSTS, CoreInput, DeadlineReached
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.settings import RouterSettings
from limpetusher_router.version.watch import platform_addresses

JITTER_FRACTION = 0.1
IDLE_TIMEOUT_SECONDS = 3.0
FIRST_RETRY_SECONDS = 0.2

logger = logging.getLogger(__name__)


class HostListReader(DocumentFetcher):
    """Polls the host list at a fixed interval and passes changes to the core."""

    channel = HOSTS

    def __init__(self, settings: RouterSettings, *, deadlines: Deadlines, rng: random.Random):
        super().__init__()
        self.settings = settings
        self.deadlines = deadlines
        self.rng = rng
        self.addresses = platform_addresses(settings)
        self.document = b""
        self.last_refused_document = b""
        self.poll_number = 0
        deadlines.schedule_in(0.0, DeadlineReached(), HOSTS)

    @handler("DeadlineReached")
    def on_due(self, _subject: object) -> None:
        """Read the host list."""
        self.poll_number += 1
        self.fetch(
            (self.poll_number,), self.addresses[0], "/hosts", idle_timeout_seconds=IDLE_TIMEOUT_SECONDS
        )

    def on_fetched(self, _key: tuple, answer: FetchedDocument) -> None:
        """Process an answer and schedule the next poll."""
        if answer.error or answer.status != 200:
            logger.debug("failed to read the host list: %s", answer.error or answer.status)
            self.addresses = [*self.addresses[1:], self.addresses[0]]
        elif answer.body != self.document:
            self.submit_document(bytes(answer.body))
        interval = self.settings.host_poll_seconds
        if not self.document:
            interval = min(interval, FIRST_RETRY_SECONDS)
        self.deadlines.schedule_in(
            interval * self.rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION), DeadlineReached(), HOSTS
        )

    def submit_document(self, document: bytes) -> None:
        """Pass a host list to the core if it is valid."""
        try:
            host_list = load_host_list(document)
        except ConfigurationError as error:
            if document != self.last_refused_document:
                self.last_refused_document = document
                logger.error("host list refused: %s", error)
            return
        self.document = document
        self.fire(CoreInput(HostListReceived(host_list)), CORE)
