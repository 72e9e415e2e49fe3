"""What a process takes of its machine, as the kernel tells it."""

import pathlib
import re


def read_resident_bytes(process_id: int) -> int:
    """Returns the resident memory of a process."""
    return _read_memory(process_id, "VmRSS")


def read_peak_bytes(process_id: int) -> int:
    """Returns the largest resident memory of a process so far."""
    return _read_memory(process_id, "VmHWM")


def count_descriptors(process_id: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{process_id}/fd").iterdir()))


def _read_memory(process_id: int, field: str) -> int:
    status = pathlib.Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    return int(re.search(rf"{field}:\s+(\d+) kB", status)[1]) * 1024
