"""Reading the platform's host list."""

import logging
import random

from circuits.core import handler

from limpetusher.configuration.document import load_host_list
from limpetusher.core.inputs import HostListReceived
from limpetusher.errors import ConfigurationError
from limpetusher_router.connection.fetching import Fetched, Fetcher
from limpetusher_router.events import CORE, HOSTS, CoreInput, Due
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.settings import RouterSettings
from limpetusher_router.version.watch import platform_addresses

JITTER = 0.1
IDLE_SECONDS = 3.0
FIRST_RETRY_SECONDS = 0.2

logger = logging.getLogger(__name__)


class HostListReader(Fetcher):
    """Reads the host list at a fixed interval and hands changes to the core."""

    channel = HOSTS

    def __init__(self, settings: RouterSettings, *, deadlines: Deadlines, rng: random.Random):
        super().__init__()
        self.settings = settings
        self.deadlines = deadlines
        self.rng = rng
        self.addresses = platform_addresses(settings)
        self.document = b""
        self.refused_document = b""
        self.round = 0
        deadlines.schedule_in(0.0, Due(), HOSTS)

    @handler("Due")
    def on_due(self, _subject: object) -> None:
        """Read the host list."""
        self.round += 1
        self.fetch((self.round,), self.addresses[0], "/hosts", idle_seconds=IDLE_SECONDS)

    def fetched(self, _key: tuple, answer: Fetched) -> None:
        """Use an answer and set the time of the next reading."""
        if answer.error or answer.status != 200:
            logger.debug("host list not read: %s", answer.error or answer.status)
            self.addresses = [*self.addresses[1:], self.addresses[0]]
        elif answer.body != self.document:
            self.offer(bytes(answer.body))
        interval = self.settings.host_poll_seconds
        if not self.document:
            interval = min(interval, FIRST_RETRY_SECONDS)
        self.deadlines.schedule_in(interval * self.rng.uniform(1 - JITTER, 1 + JITTER), Due(), HOSTS)

    def offer(self, document: bytes) -> None:
        """Hand a host list to the core if it is valid."""
        try:
            host_list = load_host_list(document)
        except ConfigurationError as error:
            if document != self.refused_document:
                self.refused_document = document
                logger.error("host list refused: %s", error)
            return
        self.document = document
        self.fire(CoreInput(HostListReceived(host_list)), CORE)
