"""Send endpoint processes the list of their peers when it has changed.

Entries know the list of processes beside engines from the platform's store.
Their datagrams name only the list's digest and the revision of the store it
was read at; a process that holds another list requests this one. With the
whole list in each datagram, 98 entries before 60 engines took a third of an
endpoint VM's link.
"""

import asyncio
import zlib
from collections.abc import Callable, Mapping

from linnetwood.core.bounded import keep_newest
from linnetwood.core.errors import CodecError, LinnetwoodError
from linnetwood.core.events import Event, log
from linnetwood.core.failures import failures_logged
from linnetwood.fleet.members import hash64
from linnetwood.fleet.revisions import era_of, number_of
from linnetwood.gen.wire.ttypes import PeerList, PeerPlace, PeersRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import SILENCE_TIMEOUT_S, Address, Dialler
from linnetwood.wire.frames import MAX_FRAME, Frame, FrameKind, FrameStream

# Pause after each request. The lists of entries differ for a moment while the
# fleet changes, and a later answer covers several changes at once.
_PAUSE_S = 0.3
# 32 bits are short to send and enough to tell two lists apart.
_DIGEST_BITS = 32
_HASH_BITS = 64
# The lists of a few services, and earlier ones: a datagram that names an
# earlier list may still be in flight.
_LISTS_KEPT = 16

ZonesByHost = Mapping[str, str]


def list_digest(zones_by_host: ZonesByHost) -> int:
    """Return a number of 32 bits that differs if two lists differ."""
    rows = (f'{host}={zone}' for host, zone in sorted(zones_by_host.items()))
    return hash64(','.join(rows)) >> (_HASH_BITS - _DIGEST_BITS)


class PeerListServer:
    """Serve the lists of an entry by their digests."""

    __slots__ = ('_packed',)

    def __init__(self) -> None:
        """Start without any list."""
        self._packed: dict[int, bytes] = {}

    def update(self, zones_by_host: ZonesByHost, revision: int) -> int:
        """Serve a list read at a revision of the store; return its digest.

        The oldest list is dropped: whoever requests it soon learns of another.
        """
        digest = list_digest(zones_by_host)
        rows = [PeerPlace(*peer) for peer in sorted(zones_by_host.items())]
        encoded = encode(PeerList(revision=revision, peers=rows))
        keep_newest(self._packed, digest, zlib.compress(encoded), _LISTS_KEPT)
        return digest

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Answer one request; with no bytes if the list is not known."""
        digest = decode(PeersRequest, frame.payload).digest
        packed = self._packed.get(digest, b'')
        await stream.write(FrameKind.PEERS, packed)


class PeerListClient:
    """Hold the newest list of the entries; request it when it changes."""

    def __init__(
        self,
        dialler: Dialler,
        on_list: Callable[[dict[str, str]], None],
    ) -> None:
        """Start without a list; call `on_list` with each newer one."""
        self.is_known = False
        self._dialler = dialler
        self._on_list = on_list
        self._digest = 0
        self._revision = -1
        self._fetch_task: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Cancel the request in flight, if any."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()
            await asyncio.gather(self._fetch_task, return_exceptions=True)

    def digest_received(
        self, digest: int, revision: int, entry: Address
    ) -> None:
        """Request an entry's list if it differs and is not older."""
        if self.is_known and digest == self._digest:
            self._revision = max(self._revision, revision)
            return
        if revision < self._revision or self._fetch_task is not None:
            return
        self._fetch_task = asyncio.create_task(self._fetch(entry, digest))

    async def _fetch(self, entry: Address, digest: int) -> None:
        with failures_logged(type(self).__name__):
            await self._request_and_apply(entry, digest)
        await asyncio.sleep(_PAUSE_S)
        self._fetch_task = None

    async def _request_and_apply(self, entry: Address, digest: int) -> None:
        try:
            self._apply(await self._request_list(entry, digest), entry)
        except LinnetwoodError as exc:
            log(
                Event.PEERS_UNHEARD,
                entry=entry[0],
                code=exc.code,
                detail=exc.detail,
            )

    async def _request_list(self, entry: Address, digest: int) -> PeerList:
        request = encode(PeersRequest(digest=digest))
        stream = await self._dialler.dial(entry)
        try:
            await stream.write(FrameKind.PEERS_REQUEST, request)
            frame = await stream.read_within(SILENCE_TIMEOUT_S)
        finally:
            stream.close()
        if frame.kind is not FrameKind.PEERS:
            raise CodecError('unexpected-frame', frame.kind.name)
        return _unpacked(frame.payload)

    def _apply(self, received: PeerList, entry: Address) -> None:
        if received.revision < self._revision:
            return
        zones_by_host = {peer.host: peer.zone for peer in received.peers}
        self.is_known = True
        self._digest = list_digest(zones_by_host)
        self._revision = received.revision
        log(
            Event.PEERS_TAKEN,
            entry=entry[0],
            revision=number_of(received.revision),
            era=era_of(received.revision),
            peers=len(zones_by_host),
        )
        self._on_list(zones_by_host)


def _unpacked(packed: bytes) -> PeerList:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, MAX_FRAME)
    except zlib.error as exc:
        raise CodecError('bad-message', f'PeerList: {exc}') from exc
    return decode(PeerList, plain)
