"""A stand-in weight store behind a rate-limited link, for tests."""

import asyncio
import random
import time

from tornado.web import Application, RequestHandler

from linnetwood.weights import chunks
from linnetwood.wire.links import TokenBucket

_NOT_FOUND = 404
_WRITE_BYTES = 65536


class OriginState:
    """Hold weights by manifest name, and count the bytes that were read."""

    def __init__(self, bytes_per_s: float, corrupt: float, seed: int) -> None:
        """Limit the link's bytes a second; corrupt a share of the chunks."""
        self.manifests: dict[str, chunks.Manifest] = {}
        self.weights: dict[str, bytes] = {}
        self.link = TokenBucket(bytes_per_s)
        self.bytes_read = 0
        self.reads: dict[str, int] = {}
        self.corrupt = corrupt
        self.rng = random.Random(seed)
        self.slow_factor = 1

    def publish(self, weights: bytes, chunk_bytes: int) -> str:
        """Store weights; return the manifest's name."""
        manifest = chunks.build(weights, chunk_bytes)
        name = chunks.digest_name(manifest.encode())
        self.manifests[name] = manifest
        self.weights[name] = weights
        return name

    async def pace(self, size: int) -> None:
        """Wait until the link has sent so many bytes."""
        cost = size * self.slow_factor
        await asyncio.sleep(self.link.reserve(cost, time.monotonic()))


class ChunkHandler(RequestHandler):
    """Serve one chunk, or the manifest as index -1."""

    def initialize(self, state: OriginState) -> None:
        """Use the store's state."""
        self.state = state

    async def get(self, name: str, number: str) -> None:
        """Send the bytes at the link's rate."""
        manifest = self.state.manifests.get(name)
        index = int(number)
        if manifest is None or index >= len(manifest.digests):
            self.set_status(_NOT_FOUND)
            return
        payload = self._payload(name, manifest, index)
        chunk_name = f'{name}/{index}'
        self.state.reads[chunk_name] = self.state.reads.get(chunk_name, 0) + 1
        for start in range(0, len(payload), _WRITE_BYTES):
            part = payload[start : start + _WRITE_BYTES]
            await self.state.pace(len(part))
            self.state.bytes_read += len(part)
            self.write(part)
            await self.flush()

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""

    def _payload(
        self,
        name: str,
        manifest: chunks.Manifest,
        index: int,
    ) -> bytes:
        if index == chunks.MANIFEST_INDEX:
            return manifest.encode()
        start = index * manifest.chunk_bytes
        payload = self.state.weights[name][start : start + manifest.chunk_bytes]
        if self.state.rng.random() < self.state.corrupt:
            return payload[:-1] + bytes((payload[-1] ^ 1,))
        return payload


class ControlHandler(RequestHandler):
    """Publish weights and report what was read; for set-up and reports."""

    def initialize(self, state: OriginState) -> None:
        """Use the store's state."""
        self.state = state

    def get(self) -> None:
        """Return the bytes read so far, and the reads by chunk."""
        self.write(
            {'bytes_read': self.state.bytes_read, 'reads': self.state.reads},
        )

    def post(self) -> None:
        """Publish the body as weights, or slow down the link."""
        slow_factor = self.get_argument('slow_factor', '')
        if slow_factor:
            self.state.slow_factor = int(slow_factor)
            return
        chunk_bytes = int(self.get_argument('chunk_bytes'))
        self.write(self.state.publish(self.request.body, chunk_bytes))

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


def application(state: OriginState) -> Application:
    """Return the store as a tornado application."""
    shared = {'state': state}
    return Application(
        [
            (r'/weights/([0-9a-f]+)/(-?\d+)', ChunkHandler, shared),
            (r'/control', ControlHandler, shared),
        ],
    )
