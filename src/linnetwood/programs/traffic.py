"""Sum up from log lines what processes say to each other."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

from linnetwood.core.events import Event
from linnetwood.programs.explain import read_line

_COUNTED = int(Event.TALK_COUNTED)
_STARTED = int(Event.STARTED)
_UNTOLD = '?'
Kind = tuple[str, str, str]


@dataclasses.dataclass(slots=True)
class Row:
    """One kind of datagram of one program, over all spans that were told."""

    processes: set[str] = dataclasses.field(default_factory=set)
    spans_s: float = 0
    datagrams: int = 0
    octets: int = 0
    most_per_s: float = 0

    def add(self, line: dict[str, Any]) -> None:
        """Take in one line."""
        span_s = float(line['span_s'])
        self.processes.add(str(line.get('vm', _UNTOLD)))
        self.spans_s += span_s
        self.datagrams += int(line['datagrams'])
        self.octets += int(line['bytes'])
        self.most_per_s = max(self.most_per_s, int(line['bytes']) / span_s)

    def as_dict(self, kind: Kind) -> dict[str, Any]:
        """Give what it adds up to, a second and a process."""
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
    """What the lines of several processes add up to."""

    __slots__ = ('_programs', '_rows')

    def __init__(self) -> None:
        """Know nothing."""
        self._rows: dict[Kind, Row] = collections.defaultdict(Row)
        self._programs: dict[str, str] = {}

    def read(self, stream: TextIO) -> None:
        """Take in the lines of one file; others than its own are passed by."""
        for text in stream:
            line = read_line(text)
            if line is not None:
                self.take(line)

    def take(self, line: dict[str, Any]) -> None:
        """Take in one line."""
        vm = str(line.get('vm', _UNTOLD))
        if line['event'] == _STARTED:
            self._programs[vm] = str(line.get('program', _UNTOLD))
        elif line['event'] == _COUNTED:
            program = self._programs.get(vm, _UNTOLD)
            kind = (program, str(line['direction']), str(line['kind']))
            self._rows[kind].add(line)

    def rows(self) -> Iterator[dict[str, Any]]:
        """Yield what each kind adds up to, in order."""
        for kind, row in sorted(self._rows.items()):
            yield row.as_dict(kind)


def sum_up(streams: Iterable[TextIO]) -> Traffic:
    """Read all logs."""
    found = Traffic()
    for stream in streams:
        found.read(stream)
    return found


def report(found: Traffic) -> Iterator[str]:
    """Say it in lines, the rates those of one process."""
    for row in found.rows():
        yield (
            f'{row["program"]:28} {row["direction"]:8} {row["kind"]:10}'
            f' {row["processes"]:4} processes'
            f' {row["datagrams_per_s"]:7} datagrams/s'
            f' {row["bytes_per_s"]:6} B/s, at most {row["most_bytes_per_s"]}'
        )
