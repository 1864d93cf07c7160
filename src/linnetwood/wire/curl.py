"""Tornado's curl client with a clean close."""

from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient


class QuietCurlClient(CurlAsyncHTTPClient):
    """Ignore libcurl's callbacks after the client was closed."""

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _handle_socket(self, *args: Any) -> None:
        if self._multi is not None:
            super()._handle_socket(*args)
