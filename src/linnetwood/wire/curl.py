"""The curl client, closed cleanly."""

from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient


class QuietCurlClient(CurlAsyncHTTPClient):
    """Ignore what curl still wants to do once the client is closed."""

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _handle_socket(self, *args: Any) -> None:
        if self._multi is not None:
            super()._handle_socket(*args)
