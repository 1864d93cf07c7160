"""The barest relay with the same libraries, to compare with: no checks."""

import asyncio
import signal

import defopt
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from linnetwood.wire.http import open_client

_CLIENTS = 512


class RelayHandler(RequestHandler):
    """Pass a stream on."""

    def initialize(self, client: AsyncHTTPClient, url: str) -> None:
        """Share the client."""
        self._client = client
        self._url = url

    async def post(self) -> None:
        """Relay one call."""
        req = HTTPRequest(
            self._url,
            method='POST',
            body=self.request.body,
            streaming_callback=self._piece,
            request_timeout=_CLIENTS,
        )
        await self._client.fetch(req, raise_error=False)

    def data_received(self, chunk: bytes) -> None:
        """Take no streamed bodies."""

    def _piece(self, piece: bytes) -> None:
        self.write(piece)
        self.flush()


def serve(*, port: int, url: str) -> None:
    """Relay every POST to a URL until told to stop.

    :param port: where to listen
    :param url: where to relay to
    """
    asyncio.run(_serve(port, url))


async def _serve(port: int, url: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    shared = {'client': open_client(_CLIENTS), 'url': url}
    server = HTTPServer(Application([('/.*', RelayHandler, shared)]))
    server.add_sockets(bind_sockets(port, '127.0.0.1'))
    await stop.wait()


if __name__ == '__main__':
    defopt.run(serve)
