"""Formatting of request explanations and router states as text."""

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


def parse_json_object(body: bytes, source: str) -> dict:
    """Parse a JSON object. `source` names its origin in errors.

    Raises
    ------
    OperatorError
        If the body is not a JSON object.
    """
    try:
        value = json.loads(body)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise OperatorError(f"{source}: the response is not a JSON object")
    return value


def format_explanation(explanation: dict) -> str:
    """Format the record of a request, with times relative to its arrival."""
    lines = [
        " ".join(f"{name}={explanation[name]}" for name in explanation if name != "steps"),
    ]
    steps = [step for step in explanation.get("steps", []) if isinstance(step, dict)]
    arrived_at = steps[0].get("at", 0.0) if steps else 0.0
    for step in steps:
        parts = (step.get("step", ""), step.get("place", ""), step.get("reason", ""))
        text = "  ".join(str(part) for part in parts if part)
        lines.append(f"{(step.get('at', arrived_at) - arrived_at) * 1000:10.1f} ms  {text}")
    return "\n".join(lines)


def format_status(address: str, status: dict) -> str:
    """Format the state of a router."""
    name = status.get("own_id", address)
    lines = [f"{name} ({address})"]
    shown_fields = [f"{field}={status[field]}" for field in STATUS_FIELDS if field in status]
    lines.append("  " + " ".join(shown_fields))
    if "reachable_peers" in status:
        lines.append("  reachable peers: " + (", ".join(status["reachable_peers"]) or "none"))
    for title in ("targets", "customers"):
        entries = [entry for entry in status.get(title, []) if isinstance(entry, dict)]
        if entries:
            lines.append(f"  {title}:")
        lines += [
            "    " + " ".join(f"{field}={_format_value(value)}" for field, value in entry.items())
            for entry in entries
        ]
    return "\n".join(lines)


def _format_value(value: object) -> object:
    return f"{value:.1f}" if isinstance(value, float) else value
