"""Bring the wanted versions to the engine of this VM, over the swarm."""

import asyncio
import hashlib
from collections.abc import Iterator

from linnetwood.core.errors import LinnetwoodError
from linnetwood.core.events import Event, log
from linnetwood.core.options import Decisions
from linnetwood.core.waits import happened
from linnetwood.fleet.wanted import ENGINE_SWITCH_S, WantedVersions
from linnetwood.gen.wire.ttypes import HeldNotice
from linnetwood.weights import chunks, waves
from linnetwood.weights.engine import Engine, EngineReport, Order, Origin
from linnetwood.weights.fetching import (
    FleetInfo,
    ModelVersion,
    VersionDownloads,
)
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.transfer import Download, Tools
from linnetwood.weights.versionplan import PLANS, PlanInputs

_WAKE_S = 0.1
_SETTLE_S = 3.0
_RETRY_S = 0.3
_BY_DEFAULT = Decisions()


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
    """Own what lies at one engine and the orders that it gets."""

    def __init__(
        self,
        tools: Tools,
        engine: Engine,
        origin: Origin,
        wanted: WantedVersions,
        wire_port: int,
        decisions: Decisions = _BY_DEFAULT,
    ) -> None:
        """Follow nothing yet."""
        self._plan = PLANS[decisions.version_plan]
        self._planned = 0
        self.transfer_s = float()
        self.report: EngineReport | None = None
        self.target: ModelVersion | None = None
        self._tools = tools
        self._engine = engine
        self._wanted = wanted
        self._wake = asyncio.Event()
        self._fetching = VersionDownloads(
            tools,
            engine,
            origin,
            wire_port,
            self._wake.set,
            TAKEOVERS[decisions.takeover],
        )
        # A bit for each chunk that was laid there.
        self._staged = 0
        self._born = 0
        self._ordered_at = -_SETTLE_S
        self._taken: ModelVersion | None = None
        self._complete_at: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def fleet(self) -> FleetInfo:
        """Give what is known of the fleet."""
        return self._fetching.fleet

    @property
    def download(self) -> Download | None:
        """Give the download of the version that comes next."""
        return None if self.target is None else self._fetching.get(self.target)

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop; the engine goes on serving."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._fetching.close()

    def wake(self) -> None:
        """Look again at what is wanted."""
        self._wake.set()

    @property
    def draining(self) -> bool:
        """Tell whether new calls should go elsewhere: a change is near."""
        target = self.target
        report = self.report
        download = self.download
        if target is None or report is None or download is None:
            return False
        serving = report.serving.get(target.model, 0)
        if not 0 < serving < target.version:
            return False
        held = download.swarm.held.bit_count()
        count = download.swarm.count
        return waves.is_draining(held, count, first=self._first_wave(target))

    @property
    def busy(self) -> bool:
        """Tell whether a version is being brought or taken here."""
        report = self.report
        if report is None or report.changing:
            return True
        target = self.target
        return (
            target is None
            or report.serving.get(target.model, 0) < target.version
        )

    def partners(self, manifest: str) -> list[str]:
        """Give the hosts with which a version's chunks are exchanged."""
        return self._fetching.partners(manifest)

    def add_notice(self, notice: HeldNotice) -> None:
        """Take in what a peer holds."""
        self._fetching.add_notice(notice)

    def notices(self) -> list[HeldNotice]:
        """Tell what is held here of the versions that are fetched."""
        return self._fetching.notices()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            try:
                await self._step()
            except LinnetwoodError as exc:
                log(Event.ORDER_REFUSED, code=exc.code, detail=exc.detail)
                await asyncio.sleep(_RETRY_S)
            await happened(self._wake, _WAKE_S)

    async def _step(self) -> None:
        report = self.report
        if report is None:
            return
        if report.born != self._born:
            self._begin_life(report.born)
        now_s = self._tools.clock.now()
        if now_s - self._ordered_at >= _SETTLE_S:
            # An order that led to nothing by now is given again.
            self._taken = None
        self._wanted.add_serving(report.serving.items())
        planned = self._newest(now_s)
        if planned is None:
            return
        await self._fetch(*planned)
        target = self.target
        download = self.download
        if target is None or download is None:
            return
        await self._lay(target, download)
        if report.serving.get(target.model, 0) >= target.version:
            return
        if self._taken == target and now_s - self._ordered_at < _SETTLE_S:
            return
        if not download.swarm.complete or report.changing:
            return
        if now_s >= self._change_at(target, report, now_s):
            await self._take(target, download)

    def _begin_life(self, born: int) -> None:
        """Lay and order everything anew: this life knows of nothing."""
        if self._born:
            log(Event.ENGINE_REBORN, before=self._born, born=born)
        self._born = born
        self._staged = 0
        self._taken = None
        self._ordered_at = -_SETTLE_S

    async def _fetch(self, newest: ModelVersion, outlook: PlanInputs) -> None:
        """Fetch what comes next, and what may be needed beside it.

        What came next before goes on until a newer version's manifest is here.
        """
        if newest != self.target and self._fetching.get(newest) is not None:
            self.target = newest
            self._staged = 0
            self._complete_at = None
        await self._fetching.fetch_only(tuple(self._wants(newest, outlook)))
        if self.target is not None:
            self._fetching.prioritise(self.target)

    def _wants(
        self, newest: ModelVersion, outlook: PlanInputs
    ) -> Iterator[ModelVersion]:
        yield newest
        if self.target is None:
            return
        if self.target != newest:
            yield self.target
            return
        after = ModelVersion(newest.model, self._wanted.newest(newest.model))
        brought = outlook.progress.get(newest.version)
        if after == newest or brought is None:
            return
        if self._plan.may_read_ahead(brought):
            yield after

    def _first_wave(self, target: ModelVersion) -> bool:
        return waves.in_first_wave(
            self._tools.me,
            self.fleet.peers,
            target.name,
        )

    def _change_at(
        self, target: ModelVersion, report: EngineReport, now_s: float
    ) -> float:
        if self._complete_at is None:
            self._complete_at = now_s
        cutoff = self._wanted.cutoff(target.model, target.version)
        serves_nothing = not report.serving.get(target.model, 0)
        if cutoff is None or serves_nothing:
            return now_s
        first = self._first_wave(target)
        return waves.change_at(
            self._complete_at,
            cutoff,
            ENGINE_SWITCH_S,
            first=first,
        )

    def _newest(self, now: float) -> tuple[ModelVersion, PlanInputs] | None:
        """Give the version to bring next, and what that was planned by."""
        for model in self._wanted.models():
            serving = self.report.serving.get(model, 0) if self.report else 0
            # What an order was taken for has left the place where it lay.
            if self._taken is not None and self._taken.model == model:
                serving = max(serving, self._taken.version)
            outlook = self._outlook(model, serving, now)
            version = self._plan.choose_version(self._wanted, outlook)
            if version:
                self._tell_plan(outlook, version)
                return ModelVersion(model, version), outlook
        return None

    def _tell_plan(self, outlook: PlanInputs, version: int) -> None:
        if version == self._planned:
            return
        self._planned = version
        log(
            Event.VERSION_PLANNED,
            version=version,
            serving=outlook.serving,
            before=outlook.planned,
            closing_in_s={
                one: round(at - outlook.now, 1)
                for one, at in self._wanted.cutoffs(outlook.model)
            },
            lacking={
                one: found.missing for one, found in outlook.progress.items()
            },
            unread={
                one: found.unread for one, found in outlook.progress.items()
            },
        )

    def _outlook(self, model: str, serving: int, now: float) -> PlanInputs:
        brought = self._fetching.progress_of(model)
        stands = (
            self.target if self.target and self.target.model == model else None
        )
        return PlanInputs(
            model,
            serving,
            stands.version if stands else 0,
            now,
            self.transfer_s,
            self.fleet.chunk_origin_s,
            brought,
        )

    async def _lay(self, target: ModelVersion, download: Download) -> None:
        for index in chunks.indices(download.swarm.held & ~self._staged):
            chunk = self._tools.store.chunk(download.manifest, index)
            if chunk is not None:
                await self._engine.stage(target.model, index, chunk)
                self._staged |= 1 << index

    async def _take(self, target: ModelVersion, download: Download) -> None:
        now = self._tools.clock.now()
        if now - self._ordered_at < _SETTLE_S:
            return
        if not await self._verified(target, download):
            return
        report = await self._engine.report()
        if report.changing or report.born != self._born:
            # What was read back lay at the life before.
            return
        answer = await self._engine.take(
            target.model,
            target.version,
            report.orders_taken,
        )
        log(
            Event.ORDER_GIVEN,
            manifest=target.name,
            answer=answer.value,
            running=report.running,
        )
        if answer in {Order.TAKEN, Order.DONE}:
            self._ordered_at = now
            self._taken = target
            self._wake.set()

    async def _verified(self, target: ModelVersion, download: Download) -> bool:
        """Read back what lies there; lay again what is not as it should be."""
        digests = download.manifest.digests
        for index, digest in enumerate(digests):
            chunk = await self._engine.read_staged(target.model, index)
            found = b'' if chunk is None else hashlib.sha256(chunk).digest()
            if found != digest:
                log(Event.CHUNK_BAD, manifest=target.name, index=index)
                self._staged &= ~(1 << index)
        return self._staged == chunks.full(len(digests))
