"""Finds the request that a failed event handler was processing."""

from limpetusher_router.events import REQUESTS


def request_id_of(event: object) -> str | None:
    """Return the id of the request that a message concerns, or None."""
    if REQUESTS not in getattr(event, "channels", ()) or not event.args:
        return None
    # The answer of a scheduler is named after its address.
    subject = next((part for part in event.args if hasattr(part, "request_id")), event.args[0])
    subject = getattr(subject, "request_id", subject)
    if isinstance(subject, tuple):
        subject = subject[0]
    return subject if isinstance(subject, str) else None
