"""Record when faults begin and end, and what they affect."""

import time

from linnetwood.lab.soak.history import FaultRecord


class FaultLog:
    """Add records to a list, and set their ends once these are known."""

    def __init__(self, records: list[FaultRecord]) -> None:
        """Use a list of a history."""
        self._records = records

    def begin(self, kind: str, who: str, span_s: float) -> int:
        """Record a fault that is to last some time; return its index."""
        now = time.monotonic()
        self._records.append(FaultRecord(kind, now, now + span_s, who))
        return len(self._records) - 1

    def end(self, index: int, after_s: float = 0) -> None:
        """Record that a fault ends now, or some time after."""
        begun = self._records[index]
        until = time.monotonic() + after_s
        self._records[index] = FaultRecord(
            begun.kind, begun.at, until, begun.who
        )
