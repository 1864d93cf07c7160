"""Call an entry as an operator."""

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
    """Hold one connection to an entry."""

    def __init__(self, address: str, tls_folder: str = '') -> None:
        """Name the entry as HOST:PORT, and where certificates are, if any."""
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
        """Connect and give the generated calls."""
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
        """Hang up."""
        self._transport.close()


def _socket(host: str, port: int, tls_folder: str) -> Any:
    if not tls_folder:
        return TSocket(host, port)
    return TSSLSocket(
        host,
        port,
        ssl_context=client_context(tls_folder),
        validate_callback=_vouched,
    )


def _vouched(certificate: object, hostname: str) -> None:
    """Accept what the authority signed: entries are known by IP number."""
