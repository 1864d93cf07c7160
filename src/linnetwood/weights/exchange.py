"""Request chunks from peers, and serve held chunks to them."""

import asyncio
import dataclasses
from collections.abc import Callable

from linnetwood.core.errors import WeightsError, WireError
from linnetwood.gen.wire.ttypes import ChunkReply, ChunkRequest
from linnetwood.weights import chunks
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import SILENCE_TIMEOUT_S, Address, Dialler
from linnetwood.wire.frames import Frame, FrameKind, FrameStream
from linnetwood.wire.links import Link

# Peers leave one that sends nothing for 0.8 s, so one that takes nothing for
# this time has gone, or has no use for the chunk.
_STALL_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class TransferCounters:
    """Count the bytes and bad chunks of transfers."""

    origin_bytes: int = 0
    peer_bytes: int = 0
    repeated_bytes: int = 0
    bad_chunks: int = 0
    bytes_sent: int = 0


class Uploads:
    """Serve held chunks to peers, a bounded number at a time."""

    def __init__(
        self,
        store: chunks.ChunkStore,
        link: Link,
        counters: TransferCounters,
        limit: int,
    ) -> None:
        """Serve from the store over the link, with at most limit queued."""
        self.queued = 0
        self.manifests: dict[str, chunks.Manifest] = {}
        self.store = store
        self._link = link
        self._counters = counters
        self._limit = limit
        self._upload_lock = asyncio.Lock()

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Answer one request for a chunk."""
        request = decode(ChunkRequest, frame.payload)
        payload = self._payload(request)
        # Manifests are always served: they are small, and no download can
        # start without one.
        is_full = self.queued >= self._limit
        is_busy = is_full and request.index != chunks.MANIFEST_INDEX
        if payload is None or is_busy:
            await self._reply(stream, request, held_here=False)
            return
        self.queued += 1
        try:
            async with self._upload_lock:
                await self._send(stream, request, payload)
        finally:
            self.queued -= 1
        self._counters.bytes_sent += len(payload)

    def held_bytes(self, name: str) -> bytes:
        """Give the packed bitmap of the chunks held of a manifest."""
        manifest = self.manifests.get(name)
        if manifest is None:
            return b''
        count = len(manifest.digests)
        return chunks.pack_bitmap(self.store.held(manifest), count)

    async def _send(
        self,
        stream: FrameStream,
        request: ChunkRequest,
        payload: bytes,
    ) -> None:
        size = self._link.slice_bytes or len(payload)
        await self._link.send(min(size, len(payload)))
        await self._reply(stream, request, held_here=True)
        stream.begin_frame(FrameKind.CHUNK, len(payload))
        await _write(stream, payload[:size])
        for start in range(size, len(payload), size):
            part = payload[start : start + size]
            await self._link.send(len(part))
            await _write(stream, part)

    def _payload(self, request: ChunkRequest) -> bytes | None:
        manifest = self.manifests.get(request.manifest)
        if manifest is None:
            return None
        if request.index == chunks.MANIFEST_INDEX:
            return manifest.encode()
        if not 0 <= request.index < len(manifest.digests):
            return None
        return self.store.chunk(manifest, request.index)

    async def _reply(
        self,
        stream: FrameStream,
        request: ChunkRequest,
        *,
        held_here: bool,
    ) -> None:
        reply = ChunkReply(
            manifest=request.manifest,
            index=request.index,
            held_here=held_here,
            held=self.held_bytes(request.manifest),
            queued=self.queued,
        )
        await stream.write(FrameKind.CHUNK_REPLY, encode(reply))


class Fetcher:
    """Request chunks over one persistent connection per peer."""

    def __init__(self, me: str, dialler: Dialler, link: Link) -> None:
        """Start without connections."""
        self._me = me
        self._dialler = dialler
        self._link = link
        self._streams: dict[str, FrameStream] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def fetch(
        self,
        vm: str,
        address: Address,
        manifest: str,
        index: int,
        on_first_byte: Callable[[], None] | None = None,
    ) -> tuple[ChunkReply, bytes]:
        """Request a chunk; give the reply and the bytes, if any.

        on_first_byte is called before the bytes of the chunk are read.
        """
        async with self._locks.setdefault(vm, asyncio.Lock()):
            stream = await self._stream(vm, address)
            try:
                return await self._exchange(
                    stream, manifest, index, on_first_byte
                )
            except BaseException:
                # The next exchange must not read the answer of a failed one.
                self._streams.pop(vm, None)
                stream.close()
                raise

    def last_received_at(self) -> dict[str, float]:
        """Give the clock's time of the last byte from each peer."""
        return {
            vm: stream.last_received_at for vm, stream in self._streams.items()
        }

    def close(self) -> None:
        """Close every connection."""
        for stream in self._streams.values():
            stream.close()
        self._streams.clear()

    async def _stream(self, vm: str, address: Address) -> FrameStream:
        stream = self._streams.get(vm)
        if stream is None or stream.closed:
            stream = await self._dialler.dial(address)
            self._streams[vm] = stream
        return stream

    async def _exchange(
        self,
        stream: FrameStream,
        manifest: str,
        index: int,
        on_first_byte: Callable[[], None] | None,
    ) -> tuple[ChunkReply, bytes]:
        request = ChunkRequest(asker=self._me, manifest=manifest, index=index)
        await stream.write(FrameKind.CHUNK_REQUEST, encode(request))
        reply = decode(ChunkReply, (await _frame(stream, index)).payload)
        if (reply.manifest, reply.index) != (manifest, index):
            raise WeightsError('wrong-chunk-answered', f'{reply.index}')
        if not reply.held_here:
            return reply, b''
        if on_first_byte is not None:
            on_first_byte()
        frame = await _frame(stream, index)
        await self._link.receive(len(frame.payload))
        return reply, frame.payload


async def _write(stream: FrameStream, part: bytes) -> None:
    """Write a part of a chunk; raise WireError if the peer takes nothing.

    Other uploads wait for this one.
    """
    try:
        async with asyncio.timeout(_STALL_TIMEOUT_S):
            await stream.write_part(part)
    except TimeoutError as exc:
        stream.abort()
        raise WireError('reader-too-slow', f'{_STALL_TIMEOUT_S} s') from exc


async def _frame(stream: FrameStream, index: int) -> Frame:
    # The swarm has a timeout for chunks; manifests have none but this.
    if index == chunks.MANIFEST_INDEX:
        return await stream.read_within(SILENCE_TIMEOUT_S)
    return await stream.read()
