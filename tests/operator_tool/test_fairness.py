"""Tests of the fairness report from the log lines of routers."""

import json
from datetime import UTC, datetime, timedelta
from pathlib import Path

from limpetusher_operator.command import main
from limpetusher_operator.fairness import FairnessReport

BEGIN = datetime(2026, 12, 6, 4, 0, 0, tzinfo=UTC)


def log_line(event: int, at: float, number: int, customer: str, **fields: object) -> str:
    """Return a log line about a request, with the prefix of a log collector."""
    line = {
        "time": (BEGIN + timedelta(seconds=at)).isoformat(),
        "event": event,
        "request": f"{customer}-{number}",
        "customer": customer,
        "tokens": 1_000.0,
    }
    return f"  {at:.3f} router-1 {json.dumps(line | fields)}"


def customer_lines(customer: str, *, sent: int, refused: int) -> list[str]:
    """Return lines of a customer with so many sent and refused requests in each of six seconds."""
    lines = []
    for second in range(6):
        for number in range(sent):
            fields = {"sends": 0, "attempt": 1, "waited": 0.1, "goal": 0.5}
            lines.append(log_line(1405, second + 0.5, second * 100 + number, customer, **fields))
        for number in range(sent, sent + refused):
            fields = {"sends": 0, "seconds": 0.1, "reason": "the backlog is too long"}
            lines.append(log_line(1401, second + 0.5, second * 100 + number, customer, **fields))
    return lines


def test_customer_below_its_share_has_the_lowest_ratio():
    lines = customer_lines("large", sent=20, refused=20) + customer_lines("small", sent=5, refused=15)
    windows = FairnessReport(lines).windows()
    lowest = windows[0]
    assert (lowest.customer, lowest.best_customer) == ("small", "large")
    assert (lowest.asked, lowest.got, lowest.best_got) == (120_000.0, 30_000.0, 120_000.0)
    assert lowest.ratio == 30_000.0 / (120_000.0 - 3_000.0)
    assert lowest.reasons == {"the backlog is too long": 90}


def test_customer_without_refusals_in_each_second_does_not_count():
    lines = customer_lines("large", sent=20, refused=20) + customer_lines("small", sent=5, refused=15)
    lines = [line for line in lines if "small" not in line or not line.startswith("  3.5")]
    assert {window.customer for window in FairnessReport(lines).windows()} == {"large"}


def test_repeated_send_of_a_request_counts_once():
    lines = customer_lines("large", sent=2, refused=10)
    repeats = [line.replace('"attempt": 1', '"attempt": 2') for line in lines if '"event": 1405' in line]
    report = FairnessReport(lines + repeats)
    assert sum(report.customers["large"].got.values()) == 12_000.0


def test_send_that_did_not_reach_its_target_does_not_count_as_service():
    """Guards against counting service of a router that can't connect to targets."""
    lines = customer_lines("large", sent=2, refused=10)
    failed = log_line(1406, 0.8, 0, "large", may_have_run=False).replace('"customer"', '"ignored"')
    report = FairnessReport([*lines, failed])
    assert report.customers["large"].got[int(BEGIN.timestamp())] == 1_000.0
    assert sum(report.customers["large"].asked.values()) == 72_000.0


def test_request_without_a_line_about_its_send_counts_as_service_at_its_first_event():
    """Guards against unfair windows that only show the lines which a flooded router has dropped."""
    ends = [
        log_line(1402, 2.9, number, "large", sends=1, seconds=0.8, first_event=0.3)
        for number in range(1_000, 1_005)
    ]
    report = FairnessReport([*customer_lines("large", sent=2, refused=10), *ends])
    begin = int(BEGIN.timestamp())
    assert report.customers["large"].got[begin + 2] == 7_000.0
    assert report.customers["large"].asked[begin + 2] == 17_000.0


def test_request_that_failed_without_a_first_event_is_no_service():
    failed = log_line(
        1407, 2.9, 0, "large", sends=1, seconds=0.8, first_event=None, reason="no answer in time"
    )
    report = FairnessReport([failed])
    assert not report.customers["large"].got


def test_command_states_the_number_of_dropped_lines(tmp_path: Path, capsys):
    path = tmp_path / "routers.log"
    dropped = [log_line(1601, 1.0, 0, "", lines=lines, total=40) for lines in (30, 10)]
    path.write_text("\n".join([*dropped, *customer_lines("large", sent=20, refused=20)]))
    assert main(["fairness", str(path)]) == 0
    assert "40 log lines were dropped" in capsys.readouterr().out


def test_lines_about_something_else_are_skipped():
    lines = [
        "",
        "text",
        "{",
        '{"event": 1320}',
        '{"time": 1, "event": 1405}',
        *customer_lines("a", sent=1, refused=0),
    ]
    assert list(FairnessReport(lines).customers) == ["a"]


def test_command_lists_the_worst_windows(tmp_path: Path, capsys):
    path = tmp_path / "routers.log"
    path.write_text(
        "\n".join(customer_lines("large", sent=20, refused=20) + customer_lines("small", sent=5, refused=15))
    )
    assert main(["fairness", str(path), "--worst", "1"]) == 0
    first, worst = capsys.readouterr().out.splitlines()
    assert first == "2 windows, 1 below 0.5, 1 below 0.8"
    assert worst.startswith("0.26  ")
    assert "small asked 120000 got 30000, large got 120000; 90 the backlog is too long" in worst


def test_command_reports_a_file_that_can_not_be_read(tmp_path: Path, capsys):
    assert main(["fairness", str(tmp_path / "none.log")]) == 2
    assert "can't be read" in capsys.readouterr().err
