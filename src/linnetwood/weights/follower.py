"""Bring the wanted version to the engine of this VM, over the swarm."""

import asyncio
import dataclasses
import hashlib

from linnetwood.core.errors import LinnetwoodError, WeightsError
from linnetwood.core.events import Event, log
from linnetwood.core.waits import happened
from linnetwood.fleet.wanted import SWITCH_S, WantedVersions
from linnetwood.gen.wire.ttypes import HeldNotice, Member
from linnetwood.weights import chunks, waves
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.engine import Engine, EngineReport, Order, Origin
from linnetwood.weights.reading import Ring, SharedReading, ZoneReading
from linnetwood.weights.transfer import Download, Tools

_WAKE_S = 0.1
_SETTLE_S = 3.0
_MANIFEST_RETRY_S = 0.3
_TAKEOVER_S = 1.0
# A chunk needs 54 ms on the narrowest links, and 96 of them come one by one.
_FAR_TAKEOVER_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Aim:
    """A version to bring to the engine."""

    model: str
    version: int

    @property
    def name(self) -> str:
        """Name its manifest."""
        return f'{self.model}@{self.version}'


@dataclasses.dataclass(slots=True)
class Surroundings:
    """What entries told of the fleet: zones by host of peer, and the origin."""

    peers: dict[str, str] = dataclasses.field(default_factory=dict)
    origin_bytes_per_s: float = 1.0e6


class OriginChunks:
    """Read a version's chunks by the name of its manifest."""

    def __init__(self, origin: Origin) -> None:
        """Read from the origin."""
        self._origin = origin

    async def read(self, manifest: str, index: int) -> bytes:
        """Read one chunk."""
        model, _, version = manifest.rpartition('@')
        return await self._origin.piece(model, int(version), index)


class VersionFollower:
    """Own the download and the orders of one engine."""

    def __init__(
        self,
        tools: Tools,
        engine: Engine,
        origin: Origin,
        wanted: WantedVersions,
        wire_port: int,
    ) -> None:
        """Follow nothing yet."""
        self.around = Surroundings()
        self.transfer_s = float()
        self.report: EngineReport | None = None
        self.download: Download | None = None
        self.aim: Aim | None = None
        self._tools = tools
        self._engine = engine
        self._origin = origin
        self._wanted = wanted
        self._port = wire_port
        self._wake = asyncio.Event()
        self._staged: set[int] = set()
        self._recovered: set[str] = set()
        self._ordered_at = -_SETTLE_S
        self._taken: Aim | None = None
        self._complete_at: float | None = None
        self._met: dict[str, str] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop; the engine goes on serving."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.download is not None:
            await self.download.close()
        self._tools.fetcher.close()

    def rouse(self) -> None:
        """Look again at what is wanted."""
        self._wake.set()

    @property
    def spared(self) -> bool:
        """Tell whether new calls should go elsewhere: a change is near."""
        aim = self.aim
        report = self.report
        download = self.download
        if aim is None or report is None or download is None:
            return False
        serving = report.serving.get(aim.model, 0)
        if not 0 < serving < aim.version:
            return False
        held = download.swarm.held.bit_count()
        count = download.swarm.count
        return waves.is_spared(held, count, first=self._first_wave(aim))

    def noticed(self, notice: HeldNotice) -> None:
        """Take in what a peer holds."""
        if self.download is not None and self.download.name == notice.manifest:
            self.download.notice(notice)

    def notice(self) -> HeldNotice | None:
        """Tell what is held here of the newest version."""
        if (
            self.aim is None
            or self.aim.name not in self._tools.uploads.manifests
        ):
            return None
        uploads = self._tools.uploads
        return HeldNotice(
            sender=self._tools.me,
            manifest=self.aim.name,
            held=uploads.held_bytes(self.aim.name),
            queued=uploads.queued,
        )

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            try:
                await self._step()
            except LinnetwoodError as exc:
                log(Event.ORDER_REFUSED, code=exc.code, detail=exc.detail)
                await asyncio.sleep(_MANIFEST_RETRY_S)
            await happened(self._wake, _WAKE_S)

    async def _step(self) -> None:
        report = self.report
        if report is None:
            return
        now_s = self._tools.clock.now()
        if now_s - self._ordered_at >= _SETTLE_S:
            # An order that led to nothing by now is given again.
            self._taken = None
        self._wanted.serving(report.serving.items())
        aim = self._newest()
        if aim is None:
            return
        if aim != self.aim:
            await self._turn_to(aim)
        if self.download is None:
            return
        self._meet_peers(self.download)
        await self._lay(aim, self.download)
        if report.serving.get(aim.model, 0) >= aim.version:
            return
        if self._taken == aim and now_s - self._ordered_at < _SETTLE_S:
            return
        if not self.download.swarm.complete or report.changing:
            return
        if now_s >= self._change_at(aim, report, now_s):
            await self._take(aim, self.download)

    def _first_wave(self, aim: Aim) -> bool:
        return waves.in_first_wave(
            self._tools.me,
            self.around.peers,
            aim.name,
        )

    def _change_at(self, aim: Aim, report: EngineReport, now_s: float) -> float:
        if self._complete_at is None:
            self._complete_at = now_s
        cutoff = self._wanted.cutoff(aim.model, aim.version)
        serves_nothing = not report.serving.get(aim.model, 0)
        if cutoff is None or serves_nothing:
            return now_s
        first = self._first_wave(aim)
        return waves.change_at(
            self._complete_at,
            cutoff,
            SWITCH_S,
            first=first,
        )

    def _newest(self) -> Aim | None:
        now = self._tools.clock.now()
        for model in self._wanted.models():
            serving = self.report.serving.get(model, 0) if self.report else 0
            # What an order was taken for has left the place where it lay.
            if self._taken is not None and self._taken.model == model:
                serving = max(serving, self._taken.version)
            version = self._wanted.aim(model, serving, self.transfer_s, now)
            if version:
                return Aim(model, version)
        return None

    async def _turn_to(self, aim: Aim) -> None:
        manifest = await self._manifest(aim)
        if self.download is not None:
            log(Event.TRANSFER_DROPPED, manifest=self.download.name)
            await self.download.close()
        await self._recover(aim, manifest)
        self.aim = aim
        self._staged = set()
        self._complete_at = None
        self._met = {}
        uploads = self._tools.uploads
        # Peers may still fetch the version before this one.
        kept = dict(list(uploads.manifests.items())[-1:])
        uploads.manifests = {**kept, aim.name: manifest}
        self._tools.store.drop_all_but(list(uploads.manifests.values()))
        self.download = self._download(aim, manifest)
        self.download.start()
        log(
            Event.TRANSFER_STARTED,
            manifest=aim.name,
            held=self.download.swarm.held.bit_count(),
            chunks=len(manifest.digests),
            peers=len(self.around.peers),
        )

    def _download(self, aim: Aim, manifest: chunks.Manifest) -> Download:
        cfg = self._options(manifest)
        policy, far = self._turns(aim, len(manifest.digests), cfg)
        return Download(aim.name, manifest, self._tools, policy, cfg, far)

    def _turns(
        self,
        aim: Aim,
        count: int,
        cfg: SwarmOptions,
    ) -> tuple[SharedReading, ZoneReading]:
        me = self._tools.me
        near = self._near()
        everyone = Ring(aim.name, {*self.around.peers, me})
        return (
            SharedReading(me, everyone, count, cfg),
            ZoneReading(
                me,
                Ring(aim.name, near),
                len(near),
                count,
                _FAR_TAKEOVER_S,
            ),
        )

    def _near(self) -> set[str]:
        peers = self.around.peers
        zone = peers.get(self._tools.me)
        return {vm for vm, place in peers.items() if place == zone} | {
            self._tools.me,
        }

    def _options(self, manifest: chunks.Manifest) -> SwarmOptions:
        cfg = self._tools.cfg
        rate = max(1, self.around.origin_bytes_per_s)
        return SwarmOptions(
            window=cfg.window,
            queue_limit=cfg.upload_queue,
            chunk_origin_s=manifest.chunk_bytes / rate,
            takeover_s=_TAKEOVER_S,
        )

    async def _manifest(self, aim: Aim) -> chunks.Manifest:
        known = self._tools.uploads.manifests.get(aim.name)
        if known is not None:
            return known
        try:
            return await self._origin.manifest(aim.model, aim.version)
        except WeightsError as exc:
            log(Event.ORIGIN_UNREACHABLE, code=exc.code, detail=exc.detail)
        return await self._manifest_of_peers(aim)

    async def _manifest_of_peers(self, aim: Aim) -> chunks.Manifest:
        for host in self.around.peers:
            if host == self._tools.me:
                continue
            try:
                _, encoded = await self._tools.fetcher.fetch(
                    host,
                    (host, self._port),
                    aim.name,
                    chunks.MANIFEST_INDEX,
                )
            except LinnetwoodError as exc:
                log(Event.PEER_UNREACHABLE, peer=host, code=exc.code)
                continue
            if encoded:
                return chunks.parse_manifest(encoded)
        raise WeightsError('manifest-not-found', aim.name)

    async def _recover(self, aim: Aim, manifest: chunks.Manifest) -> None:
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

    def _meet_peers(self, download: Download) -> None:
        if self._met == self.around.peers:
            return
        self._met = self.around.peers
        cfg = self._options(download.manifest)
        count = download.swarm.count
        if self.aim is not None:
            download.swarm.reroute(*self._turns(self.aim, count, cfg))
        download.neighbours(
            [
                _member(host, self._port)
                for host in self.around.peers
                if host != self._tools.me
            ],
        )
        download.nearby(self._near())

    async def _lay(self, aim: Aim, download: Download) -> None:
        for index in chunks.indices(download.swarm.held):
            if index in self._staged:
                continue
            chunk = self._tools.store.chunk(download.manifest, index)
            if chunk is not None:
                await self._engine.stage(aim.model, index, chunk)
                self._staged.add(index)

    async def _take(self, aim: Aim, download: Download) -> None:
        now = self._tools.clock.now()
        if now - self._ordered_at < _SETTLE_S:
            return
        if not await self._verified(aim, download):
            return
        report = await self._engine.report()
        if report.changing:
            return
        answer = await self._engine.take(
            aim.model,
            aim.version,
            report.orders_taken,
        )
        log(
            Event.ORDER_GIVEN,
            manifest=aim.name,
            answer=answer.value,
            running=report.running,
        )
        if answer in {Order.TAKEN, Order.DONE}:
            self._ordered_at = now
            self._taken = aim
            self._wake.set()

    async def _verified(self, aim: Aim, download: Download) -> bool:
        """Read back what lies there; lay again what is not as it should be."""
        digests = download.manifest.digests
        for index, digest in enumerate(digests):
            chunk = await self._engine.read_staged(aim.model, index)
            found = b'' if chunk is None else hashlib.sha256(chunk).digest()
            if found != digest:
                log(Event.CHUNK_BAD, manifest=aim.name, index=index)
                self._staged.discard(index)
        return len(self._staged) == len(digests)


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
