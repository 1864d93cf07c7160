"""What a process uses: its memory, its descriptors, and the kernel's buffers.

The kernel's buffers of its connections count as its memory, since they hold
bytes that it has not read, or that its peers have not taken.
"""

import contextlib
import dataclasses
import os
import pathlib
import re
from collections.abc import Iterator

_PROC = pathlib.Path('/proc')
_KIB = 1024
_SOCKET = re.compile(r'socket:\[(\d+)\]')
_SOCKETS_AND_PIPES = ('socket:', 'pipe:')
_LISTENING = '0A'
# Columns of /proc/net/tcp.
_STATE = 3
_QUEUES = 4
_INODE = 9
_HEX = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Memory in bytes, and numbers of descriptors.

    `connections` counts sockets and pipes, `descriptors` files as well.
    """

    resident: int = 0
    buffered: int = 0
    connections: int = 0
    descriptors: int = 0

    @property
    def memory(self) -> int:
        """Return what the process and its connections hold."""
        return self.resident + self.buffered

    def highest(self, other: 'Usage') -> 'Usage':
        """Return the higher figures of two; memory is compared as a whole."""
        larger = self if self.memory >= other.memory else other
        return Usage(
            larger.resident,
            larger.buffered,
            max(self.connections, other.connections),
            max(self.descriptors, other.descriptors),
        )


def usage_of(pid: int) -> Usage:
    """Return what a process uses now."""
    links = list(_links(pid))
    inodes = {
        found[1] for found in map(_SOCKET.fullmatch, links) if found is not None
    }
    return Usage(
        _status_bytes(pid, 'VmRSS'),
        _buffered_bytes(inodes),
        sum(1 for link in links if link.startswith(_SOCKETS_AND_PIPES)),
        len(links),
    )


def peak_resident(pid: int) -> int:
    """Return the most memory that a process ever had, without buffers."""
    return _status_bytes(pid, 'VmHWM')


def _links(pid: int) -> Iterator[str]:
    folder = _PROC / str(pid) / 'fd'
    for name in os.listdir(folder):
        # It may be closed meanwhile.
        with contextlib.suppress(FileNotFoundError):
            yield os.readlink(folder / name)


def _status_bytes(pid: int, field: str) -> int:
    text = (_PROC / str(pid) / 'status').read_text()
    return int(text.partition(f'{field}:')[2].split()[0]) * _KIB


def _buffered_bytes(inodes: set[str]) -> int:
    """Return the bytes that wait in both directions on some sockets."""
    total = 0
    with open(_PROC / 'net' / 'tcp', encoding='ascii') as stream:
        next(stream)
        for line in stream:
            fields = line.split()
            if fields[_STATE] != _LISTENING and fields[_INODE] in inodes:
                sending, _, received = fields[_QUEUES].partition(':')
                total += int(sending, _HEX) + int(received, _HEX)
    return total
