"""A small weight store behind one rate-limited link, for tests."""

import asyncio
import random
import time

from tornado.web import Application, RequestHandler

from linnetwood.weights import chunks
from linnetwood.wire.links import TokenBucket

_ABSENT = 404
_SLICE = 65536


class OriginState:
    """Hold weights by manifest name and count the bytes that left."""

    def __init__(self, bytes_per_s: float, corrupt: float, seed: int) -> None:
        """Pace the one link at the given rate."""
        self.manifests: dict[str, chunks.Manifest] = {}
        self.weights: dict[str, bytes] = {}
        self.lane = TokenBucket(bytes_per_s)
        self.bytes_read = 0
        self.reads: dict[str, int] = {}
        self.corrupt = corrupt
        self.rng = random.Random(seed)
        self.slow_factor = 1

    def publish(self, weights: bytes, chunk_bytes: int) -> str:
        """Take in whole weights and give the manifest's name."""
        manifest = chunks.build(weights, chunk_bytes)
        name = chunks.digest_name(manifest.encode())
        self.manifests[name] = manifest
        self.weights[name] = weights
        return name

    async def pace(self, size: int) -> None:
        """Wait for the link."""
        cost = size * self.slow_factor
        await asyncio.sleep(self.lane.reserve(cost, time.monotonic()))


class ChunkHandler(RequestHandler):
    """Serve one chunk, or the manifest under index -1."""

    def initialize(self, state: OriginState) -> None:
        """Share the store's state."""
        self.state = state

    async def get(self, name: str, number: str) -> None:
        """Send the bytes at the link's rate."""
        manifest = self.state.manifests.get(name)
        index = int(number)
        if manifest is None or index >= len(manifest.digests):
            self.set_status(_ABSENT)
            return
        payload = self._payload(name, manifest, index)
        read = f'{name}/{index}'
        self.state.reads[read] = self.state.reads.get(read, 0) + 1
        for start in range(0, len(payload), _SLICE):
            part = payload[start : start + _SLICE]
            await self.state.pace(len(part))
            self.state.bytes_read += len(part)
            self.write(part)
            await self.flush()

    def data_received(self, chunk: bytes) -> None:
        """Take no streamed bodies."""

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


class PublishHandler(RequestHandler):
    """Take in weights and tell what was read; for set-up and reports."""

    def initialize(self, state: OriginState) -> None:
        """Share the store's state."""
        self.state = state

    def get(self) -> None:
        """Tell the bytes read so far."""
        self.write(
            {'bytes_read': self.state.bytes_read, 'reads': self.state.reads},
        )

    def post(self) -> None:
        """Publish the body, or slow the link down."""
        slow = self.get_argument('slow_factor', '')
        if slow:
            self.state.slow_factor = int(slow)
            return
        chunk_bytes = int(self.get_argument('chunk_bytes'))
        self.write(self.state.publish(self.request.body, chunk_bytes))

    def data_received(self, chunk: bytes) -> None:
        """Take no streamed bodies."""


def application(state: OriginState) -> Application:
    """Give the store as a tornado application."""
    shared = {'state': state}
    return Application(
        [
            (r'/weights/([0-9a-f]+)/(-?\d+)', ChunkHandler, shared),
            (r'/control', PublishHandler, shared),
        ],
    )
