"""HTTP clients whose failures come back as answers, closed cleanly."""

import asyncio
from typing import Any

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

NO_ANSWER = 599


async def fetch(client: AsyncHTTPClient, req: HTTPRequest) -> HTTPResponse:
    """Give the answer, or one of status 599 that holds the error.

    The library raises what is not an HTTP status even when told not to raise.
    It goes on with a request whose asker has gone, so the asker's end must not
    reach it: it would log the connection's end as an error.
    """
    asked = asyncio.ensure_future(client.fetch(req, raise_error=False))
    try:
        return await asyncio.shield(asked)
    except (HTTPClientError, OSError) as exc:
        return HTTPResponse(req, NO_ANSWER, error=exc)
    except asyncio.CancelledError:
        asked.add_done_callback(_let_go)
        raise


def _let_go(asked: asyncio.Future[HTTPResponse]) -> None:
    """Take an outcome that nobody waits for."""
    if not asked.cancelled():
        asked.exception()


def open_client(max_clients: int) -> Any:
    """Give a curl client that runs so many requests at a time."""
    # Only endpoints need curl; an entry does without its 6 MB.
    from linnetwood.wire.curl import QuietCurlClient  # noqa: PLC0415

    return QuietCurlClient(force_instance=True, max_clients=max_clients)


def open_small_client(max_clients: int) -> Any:
    """Give tornado's own client, for a process that makes few requests."""
    return AsyncHTTPClient(force_instance=True, max_clients=max_clients)
