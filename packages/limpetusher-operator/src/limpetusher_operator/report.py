"""Text for people: explanations of requests and the state of routers."""

import json

from limpetusher_operator.errors import OperatorError

STATUS_FIELDS = (
    "data_centre",
    "ready",
    "stopping",
    "configuration_version",
    "host_list_version",
    "waiting",
    "running",
)


def parse(body: bytes, place: str) -> dict:
    """Return the JSON object in an answer.

    Raises
    ------
    OperatorError
        If it is none.
    """
    try:
        value = json.loads(body)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise OperatorError(f"{place}: the answer is not a JSON object")
    return value


def explanation_text(explanation: dict) -> str:
    """Return a request's record, with times from its arrival on."""
    lines = [
        " ".join(f"{name}={explanation[name]}" for name in explanation if name != "steps"),
    ]
    steps = [step for step in explanation.get("steps", []) if isinstance(step, dict)]
    start = steps[0].get("at", 0.0) if steps else 0.0
    for step in steps:
        parts = (step.get("step", ""), step.get("place", ""), step.get("reason", ""))
        text = "  ".join(str(part) for part in parts if part)
        lines.append(f"{(step.get('at', start) - start) * 1000:10.1f} ms  {text}")
    return "\n".join(lines)


def status_text(address: str, status: dict) -> str:
    """Return the state of one router."""
    name = status.get("own_id", address)
    lines = [f"{name} ({address})"]
    known = [f"{field}={status[field]}" for field in STATUS_FIELDS if field in status]
    lines.append("  " + " ".join(known))
    if "reachable_peers" in status:
        lines.append("  reachable peers: " + (", ".join(status["reachable_peers"]) or "none"))
    for title in ("targets", "customers"):
        entries = [entry for entry in status.get(title, []) if isinstance(entry, dict)]
        if entries:
            lines.append(f"  {title}:")
        lines += [
            "    " + " ".join(f"{field}={_short(value)}" for field, value in entry.items())
            for entry in entries
        ]
    return "\n".join(lines)


def _short(value: object) -> object:
    return f"{value:.1f}" if isinstance(value, float) else value
