"""Summarize from logs the datagrams between processes."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

from linnetwood.core.events import Event
from linnetwood.programs.explain import read_line

_COUNTED = int(Event.TALK_COUNTED)
_STARTED = int(Event.STARTED)
_UNKNOWN = '?'
Kind = tuple[str, str, str]


@dataclasses.dataclass(slots=True)
class Row:
    """The totals of one kind of datagram of one program."""

    processes: set[str] = dataclasses.field(default_factory=set)
    spans_s: float = 0
    datagrams: int = 0
    octets: int = 0
    most_per_s: float = 0

    def add(self, line: dict[str, Any]) -> None:
        """Add one event."""
        span_s = float(line['span_s'])
        self.processes.add(str(line.get('vm', _UNKNOWN)))
        self.spans_s += span_s
        self.datagrams += int(line['datagrams'])
        self.octets += int(line['bytes'])
        self.most_per_s = max(self.most_per_s, int(line['bytes']) / span_s)

    def as_dict(self, kind: Kind) -> dict[str, Any]:
        """Return the rates of one process."""
        program, direction, name = kind
        return {
            'program': program,
            'direction': direction,
            'kind': name,
            'processes': len(self.processes),
            'datagrams_per_s': round(self.datagrams / self.spans_s, 1),
            'bytes_per_s': round(self.octets / self.spans_s),
            'most_bytes_per_s': round(self.most_per_s),
        }


class Traffic:
    """The totals of the logs of several processes."""

    __slots__ = ('_programs', '_rows')

    def __init__(self) -> None:
        """Start without events."""
        self._rows: dict[Kind, Row] = collections.defaultdict(Row)
        self._programs: dict[str, str] = {}

    def add_log(self, stream: TextIO) -> None:
        """Add the events of a file; skip other lines."""
        for text in stream:
            line = read_line(text)
            if line is not None:
                self.add_line(line)

    def add_line(self, line: dict[str, Any]) -> None:
        """Add one event."""
        vm = str(line.get('vm', _UNKNOWN))
        if line['event'] == _STARTED:
            self._programs[vm] = str(line.get('program', _UNKNOWN))
        elif line['event'] == _COUNTED:
            program = self._programs.get(vm, _UNKNOWN)
            kind = (program, str(line['direction']), str(line['kind']))
            self._rows[kind].add(line)

    def rows(self) -> Iterator[dict[str, Any]]:
        """Yield the rates of each kind, in order."""
        for kind, row in sorted(self._rows.items()):
            yield row.as_dict(kind)


def summarize(streams: Iterable[TextIO]) -> Traffic:
    """Summarize several logs."""
    found = Traffic()
    for stream in streams:
        found.add_log(stream)
    return found


def report(found: Traffic) -> Iterator[str]:
    """Yield the lines of a text report, with rates of one process."""
    for row in found.rows():
        yield (
            f'{row["program"]:28} {row["direction"]:8} {row["kind"]:10}'
            f' {row["processes"]:4} processes'
            f' {row["datagrams_per_s"]:7} datagrams/s'
            f' {row["bytes_per_s"]:6} B/s, at most {row["most_bytes_per_s"]}'
        )
