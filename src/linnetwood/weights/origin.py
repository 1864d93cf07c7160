"""Read weights from the origin, which all VMs reach over one link."""

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.core.errors import WeightsError
from linnetwood.wire.http import fetch

_OK = 200


class HttpWeightStore:
    """Read chunks over HTTP."""

    def __init__(
        self, url: str, timeout_s: float, client: AsyncHTTPClient
    ) -> None:
        """Use the store at a URL."""
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._client = client

    async def read(self, manifest: str, index: int) -> bytes:
        """Read one chunk, or the manifest under index -1."""
        req = HTTPRequest(
            f'{self._url}/weights/{manifest}/{index}',
            request_timeout=self._timeout_s,
        )
        reply = await fetch(self._client, req)
        if reply.code != _OK:
            raise WeightsError('origin-refused', f'{reply.code}: {reply.error}')
        return bytes(reply.body)
