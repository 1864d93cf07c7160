"""A minimal relay with the same libraries, as a baseline for measurements."""

import asyncio
import signal

import defopt
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from linnetwood.wire.http import open_client

_CLIENTS = 512
_REQUEST_TIMEOUT_S = 512


class RelayHandler(RequestHandler):
    """Forward a stream without checks."""

    def initialize(self, client: AsyncHTTPClient, url: str) -> None:
        """Use a shared client and the URL to relay to."""
        self._client = client
        self._url = url

    async def post(self) -> None:
        """Relay one call."""
        req = HTTPRequest(
            self._url,
            method='POST',
            body=self.request.body,
            streaming_callback=self._forward_chunk,
            request_timeout=_REQUEST_TIMEOUT_S,
        )
        await self._client.fetch(req, raise_error=False)

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""

    def _forward_chunk(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


def serve(*, port: int, url: str) -> None:
    """Relay every POST to a URL until a signal to stop.

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
