"""A client for operators' calls to an entry."""

from types import TracebackType
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TSSLSocket import TSSLSocket
from thrift.transport.TTransport import TFramedTransport

from linnetwood.core.errors import WireError
from linnetwood.core.trust import client_context
from linnetwood.gen.schema import Operators

_TIMEOUT_MS = 10000


class OperatorClient:
    """One connection to an entry."""

    def __init__(self, address: str, tls_folder: str = '') -> None:
        """Set the entry's HOST:PORT and the folder of certificates, if any."""
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal():
            raise WireError('bad-address', f'{address!r}, allowed is HOST:PORT')
        socket = _socket(host, int(port), tls_folder)
        socket.setTimeout(_TIMEOUT_MS)
        self._transport = TFramedTransport(socket)
        protocol = TCompactProtocolAcceleratedFactory().getProtocol(
            self._transport,
        )
        client: Any = Operators.Client  # untyped: it is generated
        self.calls: Any = client(protocol)

    def __enter__(self) -> Any:
        """Connect and return the generated client."""
        try:
            self._transport.open()
        except TException as exc:
            raise WireError('entry-unreachable', str(exc)) from exc
        return self.calls

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""
        self._transport.close()


def _socket(host: str, port: int, tls_folder: str) -> Any:
    if not tls_folder:
        return TSocket(host, port)
    return TSSLSocket(
        host,
        port,
        ssl_context=client_context(tls_folder),
        validate_callback=_accept_any_name,
    )


def _accept_any_name(certificate: object, hostname: str) -> None:
    """Accept any name signed by the authority: entries have only an IP."""
