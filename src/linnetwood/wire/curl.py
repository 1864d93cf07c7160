"""Tornado's curl client with a clean close and conditional requests."""

from collections.abc import Callable
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient


class SendCondition:
    """A condition that is checked just before a request is sent.

    By then it has a connection, which may have taken long.
    """

    def __init__(self, may_send: Callable[[], bool]) -> None:
        """Send nothing unless `may_send` returns True."""
        self._may_send = may_send

    def prepare(self, handle: Any) -> None:
        """Set the condition at the handle of a request."""
        handle.setopt(pycurl.PREREQFUNCTION, self._check)

    def _check(self, *_addresses: object) -> int:
        if self._may_send():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)


class QuietCurlClient(CurlAsyncHTTPClient):
    """Ignore libcurl's callbacks after a close; keep no request's condition."""

    def _curl_setup_request(
        self, handle: Any, request: Any, *args: Any
    ) -> None:
        # Handles are used again, also for requests without a condition.
        handle.unsetopt(pycurl.PREREQFUNCTION)
        super()._curl_setup_request(handle, request, *args)

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _handle_socket(self, *args: Any) -> None:
        if self._multi is not None:
            super()._handle_socket(*args)
