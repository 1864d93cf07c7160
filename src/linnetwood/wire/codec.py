"""Thrift compact encoding of messages, with limits on all sizes."""

from typing import TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from linnetwood.core.errors import CodecError
from linnetwood.core.sizes import MIB

MAX_STRING = MIB
MAX_ITEMS = 65536

_factory = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING,
    container_length_limit=MAX_ITEMS,
)

# The library raises these for bytes that are not a message.
_DECODE_ERRORS = (TException, ValueError, TypeError, EOFError, OverflowError)

_Message = TypeVar('_Message')


def encode(message: object) -> bytes:
    """Encode a generated struct."""
    transport = TMemoryBuffer()
    message.write(_factory.getProtocol(transport))  # type: ignore[attr-defined]
    return bytes(transport.getvalue())


def decode(cls: type[_Message], payload: bytes) -> _Message:
    """Decode a generated struct, or raise CodecError."""
    message = cls()
    protocol = _factory.getProtocol(TMemoryBuffer(payload))
    try:
        message.read(protocol)  # type: ignore[attr-defined]
    except _DECODE_ERRORS as exc:
        raise CodecError('bad-message', f'{cls.__name__}: {exc}') from exc
    _check(message)
    return message


def _check(message: object) -> None:
    try:
        message.validate()  # type: ignore[attr-defined]
    except TException as exc:
        raise CodecError('missing-field', str(exc)) from exc
