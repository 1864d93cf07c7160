"""Lists of hosts as they are sent: four bytes for each IPv4 address."""

import socket
from collections.abc import Iterable, Iterator

_BYTES = 4


def pack(hosts: Iterable[str]) -> bytes:
    """Put addresses behind each other; raise OSError for what is none."""
    return b''.join(socket.inet_aton(host) for host in hosts)


def unpack(packed: bytes) -> Iterator[str]:
    """Yield the addresses; bytes left over at the end are no address."""
    for start in range(0, len(packed) - _BYTES + 1, _BYTES):
        yield socket.inet_ntoa(packed[start : start + _BYTES])
