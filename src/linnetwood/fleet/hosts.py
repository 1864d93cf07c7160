"""Pack lists of IPv4 addresses into 4 bytes per address, as they are sent."""

import socket
from collections.abc import Iterable, Iterator

_BYTES = 4


def pack(addresses: Iterable[str]) -> bytes:
    """Concatenate addresses; raise OSError for a bad address."""
    return b''.join(socket.inet_aton(host) for host in addresses)


def unpack(packed: bytes) -> Iterator[str]:
    """Yield the addresses; ignore leftover bytes at the end."""
    for start in range(0, len(packed) - _BYTES + 1, _BYTES):
        yield socket.inet_ntoa(packed[start : start + _BYTES])
