"""Fetch the versions that are wanted here, each by a download of its own."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from linnetwood.core.errors import LinnetwoodError
from linnetwood.core.events import Event, log
from linnetwood.fleet.neighbours import partners
from linnetwood.gen.wire.ttypes import HeldNotice, Member
from linnetwood.weights import chunks
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.engine import Engine, Origin
from linnetwood.weights.manifests import Manifests
from linnetwood.weights.reading import Ring, SharedReading, ZoneReading
from linnetwood.weights.swarm import brought
from linnetwood.weights.takeover import TakeoverPolicy, after_unread_chunks
from linnetwood.weights.transfer import Download, Tools
from linnetwood.weights.versionplan import ChunkProgress

_MANIFEST_RETRY_S = 0.3
_TAKEOVER_S = 1.0
# Four chunks may wait before one at a peer: 0.3 s on the narrowest links.
_SILENCE_S = 0.8
# A chunk needs 54 ms on the narrowest links, and 96 of them come one by one.
_FAR_TAKEOVER_S = 3.0
# Ten words a second of 60 bytes to each while chunks come: a twentieth of the
# narrowest links that were met.
_NEAR_PARTNERS = 24


# By manifest: the peers of which they were worked out, and the partners.
_Partners = dict[str, tuple[dict[str, str], list[str]]]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersion:
    """A version to bring to the engine."""

    model: str
    version: int

    @property
    def name(self) -> str:
        """Name its manifest."""
        return f'{self.model}@{self.version}'


@dataclasses.dataclass(slots=True)
class FleetInfo:
    """What entries told of the fleet: zones by host of peer, and the origin."""

    peers: dict[str, str] = dataclasses.field(default_factory=dict)
    origin_bytes_per_s: float = 1.0e6
    # Of every chunk; 0 where no entry has told it yet.
    chunk_bytes: int = 0

    @property
    def chunk_origin_s(self) -> float:
        """Give the seconds of a chunk on the origin's link."""
        return self.chunk_bytes / max(1, self.origin_bytes_per_s)


class VersionDownloads:
    """Own the downloads of the versions that are wanted.

    A version's download begins once its manifest is here. Nothing waits for
    that: what was begun before goes on.
    """

    def __init__(
        self,
        tools: Tools,
        engine: Engine,
        origin: Origin,
        wire_port: int,
        wake: Callable[[], None],
        takeover: TakeoverPolicy = after_unread_chunks,
    ) -> None:
        """Fetch nothing yet; wake the owner whenever a download begins."""
        self._takeover = takeover
        self.fleet = FleetInfo()
        self._tools = tools
        self._engine = engine
        self._manifests = Manifests(
            tools.me,
            tools.fetcher,
            origin,
            wire_port,
            tools.rng,
        )
        self._port = wire_port
        self._wake_owner = wake
        self._recovered: set[str] = set()
        self._beginning: dict[ModelVersion, asyncio.Task[None]] = {}
        self._downloads: dict[ModelVersion, Download] = {}
        self._met: dict[ModelVersion, dict[str, str]] = {}
        self._partners: _Partners = {}

    def get(self, aim: ModelVersion) -> Download | None:
        """Give the download of a version, if it has begun."""
        return self._downloads.get(aim)

    async def fetch_only(self, aims: Sequence[ModelVersion]) -> None:
        """Fetch these versions and no others."""
        for aim in list(self._beginning):
            if aim not in aims:
                await _cancelled(self._beginning.pop(aim))
        for aim in list(self._downloads):
            if aim not in aims:
                await self._drop(aim)
        for aim in aims:
            if aim not in self._beginning and aim not in self._downloads:
                self._beginning[aim] = asyncio.create_task(self._begin(aim))
        for aim, download in self._downloads.items():
            self._meet_peers(aim, download)

    def prioritise(self, first: ModelVersion) -> None:
        """Ask peers for nothing else until this version is whole."""
        download = self._downloads.get(first)
        pending = download is not None and not download.swarm.complete
        for aim, other in self._downloads.items():
            other.swarm.ahead = pending and aim != first

    def progress_of(self, model: str) -> dict[int, ChunkProgress]:
        """Give how far each version of a model is here."""
        return {
            aim.version: brought(download.swarm)
            for aim, download in self._downloads.items()
            if aim.model == model
        }

    async def close(self) -> None:
        """Stop fetching."""
        await self.fetch_only(())
        self._tools.fetcher.close()

    def add_notice(self, notice: HeldNotice) -> None:
        """Take in what a peer holds."""
        self._manifests.noticed(notice.manifest, notice.sender)
        for download in self._downloads.values():
            if download.name == notice.manifest:
                download.notice(notice)

    def partners(self, manifest: str) -> list[str]:
        """Give the hosts with which a version's chunks are exchanged.

        Both sides of a pair choose each other. Those of the zone spread what
        has come into it; of all others a random graph keeps the way from any
        holder short, and word of what is held bounded.
        """
        me = self._tools.me
        peers = self.fleet.peers
        known = self._partners.get(manifest)
        if known is not None and known[0] == peers:
            return known[1]
        near = partners(me, self._near(), manifest, _NEAR_PARTNERS)
        far = partners(me, peers, manifest, self._tools.cfg.neighbours)
        found = sorted({*near, *far})
        self._partners = self._fetched(self._partners)
        self._partners[manifest] = (peers, found)
        return found

    def notices(self) -> list[HeldNotice]:
        """Tell what is held here of the versions that are fetched."""
        uploads = self._tools.uploads
        return [
            HeldNotice(
                sender=self._tools.me,
                manifest=download.name,
                held=uploads.held_bytes(download.name),
                queued=uploads.queued,
            )
            for download in self._downloads.values()
        ]

    def _fetched(
        self,
        known: _Partners,
    ) -> _Partners:
        """Leave out what belongs to versions that are fetched no more."""
        fetched = {aim.name for aim in (*self._beginning, *self._downloads)}
        return {name: one for name, one in known.items() if name in fetched}

    async def _begin(self, aim: ModelVersion) -> None:
        manifest = await self._sought(aim)
        self._beginning.pop(aim, None)
        self._keep_for_peers(aim, manifest)
        cfg = self._options(manifest)
        policy, far = self._turns(aim, len(manifest.digests), cfg)
        download = Download(aim.name, manifest, self._tools, policy, cfg, far)
        self._downloads[aim] = download
        download.start()
        log(
            Event.TRANSFER_STARTED,
            manifest=aim.name,
            held=download.swarm.held.bit_count(),
            chunks=len(manifest.digests),
            peers=len(self.fleet.peers),
        )
        self._wake_owner()

    def _keep_for_peers(
        self, aim: ModelVersion, manifest: chunks.Manifest
    ) -> None:
        """Keep what is fetched, and the last version before: peers may ask."""
        uploads = self._tools.uploads
        fetched = {download.name for download in self._downloads.values()}
        kept = dict(list(uploads.manifests.items())[-1:])
        for name, known in uploads.manifests.items():
            if name in fetched:
                kept[name] = known
        uploads.manifests = {**kept, aim.name: manifest}
        self._tools.store.drop_all_but(list(uploads.manifests.values()))

    async def _drop(self, aim: ModelVersion) -> None:
        log(Event.TRANSFER_DROPPED, manifest=aim.name)
        self._met.pop(aim, None)
        await self._downloads.pop(aim).close()

    async def _sought(self, aim: ModelVersion) -> chunks.Manifest:
        while True:
            try:
                manifest = await self._manifest(aim)
                await self._recover(aim, manifest)
            except LinnetwoodError as exc:
                log(Event.ORDER_REFUSED, code=exc.code, detail=exc.detail)
                await asyncio.sleep(_MANIFEST_RETRY_S)
            else:
                return manifest

    async def _manifest(self, aim: ModelVersion) -> chunks.Manifest:
        known = self._tools.uploads.manifests.get(aim.name)
        if known is not None:
            return known
        return await self._manifests.find(
            aim.model,
            aim.version,
            self._near(),
            self.partners,
        )

    async def _recover(
        self, aim: ModelVersion, manifest: chunks.Manifest
    ) -> None:
        """Take back what the engine still has staged: this process forgot."""
        if aim.model in self._recovered:
            return
        for index in await self._engine.staged(aim.model):
            if index >= len(manifest.digests):
                continue
            chunk = await self._engine.read_staged(aim.model, index)
            if chunk is not None:
                self._tools.store.keep(manifest, index, chunk)
        self._recovered.add(aim.model)

    def _turns(
        self,
        aim: ModelVersion,
        count: int,
        cfg: SwarmOptions,
    ) -> tuple[SharedReading, ZoneReading]:
        me = self._tools.me
        near = self._near()
        everyone = Ring(aim.name, {*self.fleet.peers, me})
        return (
            SharedReading(
                me,
                everyone,
                count,
                cfg,
                takeover=self._takeover,
            ),
            ZoneReading(
                me,
                Ring(aim.name, near),
                len(near),
                count,
                _FAR_TAKEOVER_S,
            ),
        )

    def _near(self) -> set[str]:
        peers = self.fleet.peers
        zone = peers.get(self._tools.me)
        return {vm for vm, place in peers.items() if place == zone} | {
            self._tools.me,
        }

    def _options(self, manifest: chunks.Manifest) -> SwarmOptions:
        cfg = self._tools.cfg
        rate = max(1, self.fleet.origin_bytes_per_s)
        return SwarmOptions(
            window=cfg.window,
            queue_limit=cfg.upload_queue,
            chunk_origin_s=manifest.chunk_bytes / rate,
            takeover_s=_TAKEOVER_S,
            silence_s=_SILENCE_S,
        )

    def _meet_peers(self, aim: ModelVersion, download: Download) -> None:
        if self._met.get(aim) == self.fleet.peers:
            return
        self._met[aim] = self.fleet.peers
        cfg = self._options(download.manifest)
        download.swarm.reroute(*self._turns(aim, download.swarm.count, cfg))
        near = self._near()
        hosts = self.partners(aim.name)
        download.neighbours([_member(host, self._port) for host in hosts])
        download.nearby(near)


async def _cancelled(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _member(host: str, port: int) -> Member:
    return Member(
        vm=host,
        incarnation=0,
        version=0,
        role='',
        availability_zone='',
        region='',
        rack='',
        host=host,
        port=port,
        status=0,
    )
