"""The record of a case: one JSON line for what was sent, answered, run and done to the system."""

import json
import pathlib
import time


class Record:
    """Keeps rows in memory and writes them to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self.rows: list[dict] = []
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the record began."""
        return time.monotonic() - self._began_at

    def add(self, what: str, **values: object) -> dict:
        """Adds a row with the present time."""
        row = {"at": round(self.now(), 4), "what": what, **values}
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")
        return row

    def close(self) -> None:
        """Writes what is left."""
        self._file.close()
