"""Check of a fleet's configuration on the users' platform, and its differences from the one in force."""

import json
from dataclasses import dataclass, field
from pathlib import Path

from limpetusher.configuration.difference import Difference, compare_values
from limpetusher.errors import ConfigurationError
from limpetusher.fleet.model import Target
from limpetusher.fleet.version.configuration_check import Finding, Severity, check_entries
from limpetusher_operator.files import problems_prefixed_by, read_file
from limpetusher_router.platform.configuration_files import (
    SECRET_LISTS,
    place_of,
    read_entries,
    read_json,
    read_targets,
)

FINDINGS_EXIT_STATUS = 1


@dataclass(slots=True)
class CheckReport:
    """Findings about a configuration, and its differences from the one in force."""

    findings: list[tuple[str, Finding]] = field(default_factory=list)
    """Findings, each with its path in the file, errors first."""
    differences: list[Difference] | None = None
    """Differences from the configuration in force, None if that was not given."""

    @property
    def exit_status(self) -> int:
        """Return the exit status of the check."""
        return FINDINGS_EXIT_STATUS if self.findings else 0

    def format_text(self) -> str:
        """Return the report as lines of text."""
        lines = [describe(place, finding) for place, finding in self.findings] or ["no findings"]
        if self.differences is not None:
            lines += ["differences from the configuration in force:"]
            lines += [f"  {difference}" for difference in self.differences] or ["  none"]
        return "\n".join(lines)

    def format_json(self) -> str:
        """Return the report as a JSON object."""
        report: dict[str, object] = {
            "findings": [
                {"severity": finding.severity.value, "place": place, "message": finding.message}
                for place, finding in self.findings
            ]
        }
        if self.differences is not None:
            report["differences"] = [
                {"kind": entry.kind.value, "path": entry.path, "old": entry.old, "new": entry.new}
                for entry in self.differences
            ]
        return json.dumps(report, indent=2)


def describe(place: str, finding: Finding) -> str:
    """Return a finding as a line of text."""
    return ": ".join(part for part in (finding.severity.value, place, finding.message) if part)


def check_file(path: Path, *, in_force: Path | None = None, targets: Path | None = None) -> CheckReport:
    """Return the report about a configuration file.

    Parameters
    ----------
    path
        The configuration to check.
    in_force
        The configuration that routers use.
    targets
        Targets in service, as a JSON object of their entries by identifier.

    Raises
    ------
    OperatorError
        If a file can't be read.
    ConfigurationError
        If a file is not a JSON object.
    """
    data = read_file(path)
    document = read_object(path, data)
    entries, findings = read_entries(document, data)
    used = None if in_force is None else read_object(in_force, read_file(in_force))
    known: list[Target] | None = None
    if targets is not None:
        known, malformed = read_target_file(targets)
        findings += malformed
    version = used.get("version") if used is not None else None
    findings += check_entries(
        entries, targets=known, version_in_force=version if isinstance(version, int) else None
    )
    findings.sort(key=lambda finding: finding.severity is not Severity.ERROR)
    differences = None if used is None else compare_values(used, document, secret_lists=SECRET_LISTS)
    return CheckReport([(place_of(finding), finding) for finding in findings], differences)


def read_object(path: Path, data: bytes) -> dict:
    """Return the JSON object in a file.

    Raises
    ------
    ConfigurationError
        If the file holds something else.
    """
    with problems_prefixed_by(path):
        document = read_json(data)
    if not isinstance(document, dict):
        raise ConfigurationError([f"{path}: expected a JSON object"])
    return document


def read_target_file(path: Path) -> tuple[list[Target], list[Finding]]:
    """Return the targets in a file, and findings about malformed ones.

    Raises
    ------
    ConfigurationError
        If the file does not hold a JSON object.
    """
    with problems_prefixed_by(path):
        return read_targets(read_file(path))
