"""CPU time and memory of a process, read from /proc (proc(5))."""

import os
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11
"""Position of `utime` after the command's name; `stime` follows it."""


def cpu_seconds(process_id: int) -> float:
    """Return the CPU time that a process has used."""
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return sum(map(int, fields[USER_TICKS_FIELD : USER_TICKS_FIELD + 2])) / TICKS_PER_SECOND


def resident_bytes(process_id: int | str = "self") -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"process {process_id} has no VmRSS in /proc; it has probably ended")
