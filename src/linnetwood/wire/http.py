"""HTTP clients that return failures as responses and close cleanly."""

import asyncio
import sys
from typing import Any

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from linnetwood.wire.frames import MAX_FRAME
from linnetwood.wire.simpleclient import StrictSimpleClient

NO_ANSWER = 599
# Twice the largest chunk of weights; values of the store take 1 MiB.
MAX_ANSWER_BYTES = 2 * MAX_FRAME


async def fetch(client: AsyncHTTPClient, req: HTTPRequest) -> HTTPResponse:
    """Return the response, or one with status 599 that holds the error.

    The library raises failures other than an HTTP status even with
    raise_error=False. If its future were cancelled together with the caller, it
    would continue the request and log the end of the connection as an error.
    """
    fut = asyncio.ensure_future(client.fetch(req, raise_error=False))
    try:
        return await asyncio.shield(fut)
    except (HTTPClientError, OSError) as exc:
        return HTTPResponse(req, NO_ANSWER, error=exc)
    except asyncio.CancelledError:
        fut.add_done_callback(_discard_result)
        raise


def _discard_result(fut: asyncio.Future[HTTPResponse]) -> None:
    """Retrieve a result that is no longer needed, to avoid a warning."""
    if not fut.cancelled():
        fut.exception()


def open_client(max_clients: int, max_bytes: int = MAX_ANSWER_BYTES) -> Any:
    """Return a curl client for this number of parallel requests."""
    # Only endpoints need curl, which takes 6 MB of memory.
    from linnetwood.wire.curl import QuietCurlClient  # noqa: PLC0415

    return QuietCurlClient(
        force_instance=True, max_clients=max_clients, max_body_size=max_bytes
    )


def open_answer_client(max_clients: int) -> Any:
    """Return a curl client whose answers are passed on piece by piece."""
    # Held nowhere as a whole, they may be of any size.
    return open_client(max_clients, sys.maxsize)


def open_simple_client(max_clients: int) -> Any:
    """Return tornado's own client, for processes that send few requests."""
    return StrictSimpleClient(
        force_instance=True,
        max_clients=max_clients,
        max_body_size=MAX_ANSWER_BYTES,
    )
