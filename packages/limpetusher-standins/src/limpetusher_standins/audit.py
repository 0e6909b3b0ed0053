"""Comparison of the callers' results with the targets' records."""

from collections import Counter
from dataclasses import dataclass, field

from limpetusher_standins.caller import CallResult, Outcome
from limpetusher_standins.fleet import Fleet


@dataclass(slots=True)
class AuditReport:
    """Violations found; all lists are empty in a correct run."""

    wrong_answers: list[str] = field(default_factory=list)
    run_but_told_not_run: list[str] = field(default_factory=list)
    run_more_than_once: list[str] = field(default_factory=list)
    overloads: list[str] = field(default_factory=list)

    @property
    def is_clean(self) -> bool:
        """Return whether there is no violation."""
        return not (
            self.wrong_answers or self.run_but_told_not_run or self.run_more_than_once or self.overloads
        )


def audit(fleet: Fleet, results: list[CallResult]) -> AuditReport:
    """Compare results with the records of all targets.

    A request is found in a record by the identifier that the router gave it and passed to the target. Calls
    of application services are counted by the identifier that their caller gave them, over all targets.
    """
    found = AuditReport()
    engines, applications = fleet.fetch_records("engine"), fleet.fetch_records("application")
    ran = {entry["request_id"] for record in engines.values() for entry in record["requests"]}
    calls = [call for record in applications.values() for call in record["calls"]]
    ran |= {call["request_id"] for call in calls}
    for result in results:
        name = f"{result.customer} {result.service} {result.request_id}: {result.detail}"
        if result.outcome == Outcome.WRONG:
            found.wrong_answers.append(name)
        if result.ran == "no" and result.request_id in ran:
            found.run_but_told_not_run.append(name)
    counts = Counter(call["call_id"] for call in calls if call["method"] != "GET" and call["call_id"])
    found.run_more_than_once = [call_id for call_id, count in counts.items() if count > 1]
    found.overloads = [
        f"{engine}: {overload}" for engine, record in engines.items() for overload in record["overloads"]
    ]
    return found


def fill_in_hosts(fleet: Fleet, results: list[CallResult]) -> None:
    """Fill in the routers and targets that answers did not name, from the targets' records."""
    target_ids = {}
    for kind, entries in (("engine", "requests"), ("application", "calls")):
        for host_id, record in fleet.fetch_records(kind).items():
            target_ids.update({entry["request_id"]: host_id for entry in record[entries]})
    for result in results:
        result.target = result.target or target_ids.get(result.request_id, "")
        if not result.router:
            matching_routers = [
                host_id for host_id in fleet.routers if result.request_id.startswith(f"{host_id}-")
            ]
            result.router = max(matching_routers, key=len, default="")
