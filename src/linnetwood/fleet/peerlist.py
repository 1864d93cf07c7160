"""Which processes stand beside engines: told once, and when it has changed.

Entries know the list from the platform's store. A greeting names its digest and
the store's revision as of which it stands; a process that knows another list
asks for this one. With the list inside each greeting, greetings took a third of
an endpoint VM's link where 98 entries stand before 60 engines.
"""

import asyncio
import zlib
from collections.abc import Callable, Mapping

from linnetwood.core.errors import CodecError, LinnetwoodError
from linnetwood.core.events import Event, log
from linnetwood.fleet.members import hash64
from linnetwood.gen.wire.ttypes import PeerList, PeerPlace, PeersRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import SILENT_S, Address, Dialler
from linnetwood.wire.frames import MAX_FRAME, Frame, FrameKind, FrameStream

# Entries' lists differ for a moment while the fleet changes, and one answer
# soon serves for many changes.
_PAUSE_S = 0.3
# So many bits tell two lists apart, and are short to send.
_DIGEST_BITS = 32
_HASH_BITS = 64
# Those of a few services, and the ones before: a greeting may be under way.
_LISTS_KEPT = 16

ZonesByHost = Mapping[str, str]


def list_digest(places: ZonesByHost) -> int:
    """Give a number that differs where two lists of zones by host do."""
    rows = (f'{host}={zone}' for host, zone in sorted(places.items()))
    return hash64(','.join(rows)) >> (_HASH_BITS - _DIGEST_BITS)


class PeerListServer:
    """Tell the lists of an entry to whoever asks for one."""

    __slots__ = ('_packed',)

    def __init__(self) -> None:
        """Know none."""
        self._packed: dict[int, bytes] = {}

    def update(self, places: ZonesByHost, revision: int) -> int:
        """Tell this list, too, as of a revision of the store; give its digest.

        The oldest is forgotten: whoever asks for it hears of another soon.
        """
        told = list_digest(places)
        rows = [PeerPlace(*place) for place in sorted(places.items())]
        encoded = encode(PeerList(revision=revision, peers=rows))
        self._packed.pop(told, None)
        self._packed[told] = zlib.compress(encoded)
        while len(self._packed) > _LISTS_KEPT:
            self._packed.pop(next(iter(self._packed)))
        return told

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Answer one request; with nothing where the list is not known."""
        asked = decode(PeersRequest, frame.payload).digest
        packed = self._packed.get(asked, b'')
        await stream.write(FrameKind.PEERS, packed)


class PeerListClient:
    """Hold the newest list that an entry told; its task owns the connection."""

    def __init__(
        self,
        dialler: Dialler,
        taken: Callable[[dict[str, str]], None],
    ) -> None:
        """Know nothing; hand each newer list on as zones by host."""
        self.is_known = False
        self._dialler = dialler
        self._on_list = taken
        self._digest = 0
        self._revision = -1
        self._fetch_task: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Ask no more."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()
            await asyncio.gather(self._fetch_task, return_exceptions=True)

    def digest_received(self, told: int, revision: int, entry: Address) -> None:
        """Ask an entry for its list, if that is another and no older one."""
        if self.is_known and told == self._digest:
            self._revision = max(self._revision, revision)
            return
        if revision < self._revision or self._fetch_task is not None:
            return
        self._fetch_task = asyncio.create_task(self._fetch(entry, told))

    async def _fetch(self, entry: Address, told: int) -> None:
        try:
            self._apply(await self._request_list(entry, told), entry)
        except LinnetwoodError as exc:
            log(
                Event.PEERS_UNHEARD,
                entry=entry[0],
                code=exc.code,
                detail=exc.detail,
            )
        await asyncio.sleep(_PAUSE_S)
        self._fetch_task = None

    async def _request_list(self, entry: Address, told: int) -> PeerList:
        request = encode(PeersRequest(digest=told))
        stream = await self._dialler.dial(entry)
        try:
            await stream.write(FrameKind.PEERS_REQUEST, request)
            frame = await stream.read_within(SILENT_S)
        finally:
            stream.close()
        if frame.kind is not FrameKind.PEERS:
            raise CodecError('unexpected-frame', frame.kind.name)
        return _unpacked(frame.payload)

    def _apply(self, told: PeerList, entry: Address) -> None:
        if told.revision < self._revision:
            return
        places = {one.host: one.zone for one in told.peers}
        self.is_known = True
        self._digest = list_digest(places)
        self._revision = told.revision
        log(
            Event.PEERS_TAKEN,
            entry=entry[0],
            revision=told.revision,
            peers=len(places),
        )
        self._on_list(places)


def _unpacked(packed: bytes) -> PeerList:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, MAX_FRAME)
    except zlib.error as exc:
        raise CodecError('bad-message', f'PeerList: {exc}') from exc
    return decode(PeerList, plain)
