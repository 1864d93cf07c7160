"""Sockets that a library owns, by their descriptors."""

import socket
import struct
from contextlib import suppress

# What a peer may have sent before it is read. A link of 1 Gbit/s is filled in
# half a millisecond.
_UNREAD_BYTES = 65536
# What libcurl reads at once.
_READ_BYTES = 16384
_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT
# SO_LINGER with a timeout of 0: close() sends a reset, which discards unread
# bytes at both ends.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def reset_on_close(descriptor: int) -> None:
    """Let the close of a connection reset it; ignore what is no socket."""
    if descriptor < 0:
        return
    _set_option(descriptor, socket.SO_LINGER, _RESET_ON_CLOSE)


def limit_unread(descriptor: int) -> None:
    """Let the peer of a connection send little ahead of what is read.

    Connections that a listening socket accepts have the same limit.

    The kernel would let it be some MB, which count as memory of the process.
    """
    with suppress(OSError):
        _set_option(descriptor, socket.SO_RCVBUF, _UNREAD_BYTES)


def unread_bytes(descriptor: int) -> bytes:
    """Return what libcurl reads next of a connection, and leave it there."""
    sock = _borrow(descriptor)
    try:
        return sock.recv(_READ_BYTES, _PEEK)
    except OSError:
        return b''
    finally:
        sock.detach()


def _set_option(descriptor: int, option: int, setting: int | bytes) -> None:
    sock = _borrow(descriptor)
    try:
        sock.setsockopt(socket.SOL_SOCKET, option, setting)
    finally:
        sock.detach()


def _borrow(descriptor: int) -> socket.socket:
    """Use a descriptor as a socket, without a duplicate: none may be left.

    It must be detached.
    """
    return socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor
    )
