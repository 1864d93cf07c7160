"""Load the wanted versions on this VM's engine, fetched from the swarm."""

import asyncio
from collections.abc import Collection, Iterator

from linnetwood.core.errors import LinnetwoodError, OrderError
from linnetwood.core.events import Event, log
from linnetwood.core.options import Decisions
from linnetwood.core.owner import supervise
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.wanted import ENGINE_SWITCH_S, WantedVersions
from linnetwood.gen.wire.ttypes import HeldNotice
from linnetwood.weights import chunks, waves
from linnetwood.weights.engine import Engine, EngineReport, OrderResult, Origin
from linnetwood.weights.fetching import (
    FleetInfo,
    ModelVersion,
    VersionDownloads,
)
from linnetwood.weights.stagedchunks import StagedCheck, StagedChunks
from linnetwood.weights.swarm import progress_of
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.transfer import Download, Tools
from linnetwood.weights.versionlookup import VersionLookup
from linnetwood.weights.versionplan import PLANS, PlanInputs

_WAKE_S = 0.1
_SETTLE_S = 3.0
_RETRY_S = 0.3
_DEFAULT_DECISIONS = Decisions()


class OriginChunks:
    """Read a version's chunks by the name of its manifest."""

    def __init__(self, origin: Origin) -> None:
        """Read from the origin."""
        self._origin = origin

    async def read(self, manifest: str, index: int) -> bytes:
        """Read one chunk."""
        model, _, version = manifest.rpartition('@')
        return await self._origin.chunk(model, int(version), index)


class VersionFollower:
    """Own the chunks staged at one engine and the orders that it gets."""

    def __init__(
        self,
        tools: Tools,
        engine: Engine,
        origin: Origin,
        wanted: WantedVersions,
        wire_port: int,
        decisions: Decisions = _DEFAULT_DECISIONS,
    ) -> None:
        """Follow nothing yet."""
        self._plan = PLANS[decisions.version_plan]
        self._logged_version = 0
        self.transfer_s = float()
        self.report: EngineReport | None = None
        self.target: ModelVersion | None = None
        self._tools = tools
        self._engine = engine
        self._wanted = wanted
        self._wake = asyncio.Event()
        self._downloads = VersionDownloads(
            tools,
            engine,
            origin,
            wire_port,
            self._wake.set,
            TAKEOVERS[decisions.takeover],
        )
        self._lookup = VersionLookup(
            tools.me,
            origin,
            wanted,
            self._downloads.zone_vms,
            self._version_found,
        )
        self._staged = StagedChunks()
        self._check = StagedCheck(engine, tools.clock)
        self._engine_born = 0
        self._ordered_at = -_SETTLE_S
        self._ordered: ModelVersion | None = None
        self._completed_at: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def fleet(self) -> FleetInfo:
        """Return what entries reported of the fleet."""
        return self._downloads.fleet

    @property
    def download(self) -> Download | None:
        """Return the download of the target version, if it has started."""
        return None if self.target is None else self._downloads.get(self.target)

    def start(self) -> None:
        """Start following the wanted versions."""
        self._task = asyncio.create_task(
            supervise('VersionFollower', self._run)
        )
        self._lookup.start()

    async def close(self) -> None:
        """Stop following; the engine continues to serve."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._lookup.close()
        await self._downloads.close()

    def look_up(self, models: Collection[str]) -> None:
        """Ask the origin for the versions of models that nobody knows."""
        self._lookup.request(models)

    def wake(self) -> None:
        """Check the wanted versions again now."""
        self._wake.set()

    @property
    def draining(self) -> bool:
        """Return whether new calls should avoid this VM before a change."""
        target = self.target
        report = self.report
        download = self.download
        if target is None or report is None or download is None:
            return False
        serving = report.serving.get(target.model, 0)
        if not 0 < serving < target.version:
            return False
        return waves.is_draining(
            progress_of(download.swarm), first=self._first_wave(target)
        )

    @property
    def busy(self) -> bool:
        """Return whether a version is being fetched or loaded here."""
        report = self.report
        if report is None or report.changing:
            return True
        target = self.target
        return (
            target is None
            or report.serving.get(target.model, 0) < target.version
        )

    def partners(self, manifest: str) -> list[str]:
        """Return the hosts with which a version's chunks are exchanged."""
        return self._downloads.partners(manifest)

    def add_notice(self, notice: HeldNotice) -> None:
        """Record which chunks a peer holds."""
        self._downloads.add_notice(notice)

    def notices(self) -> list[HeldNotice]:
        """Return which chunks of the fetched versions this VM holds."""
        return self._downloads.notices()

    def _version_found(
        self, model: str, version: int, manifest: chunks.Manifest
    ) -> None:
        self._downloads.add_manifest(ModelVersion(model, version), manifest)
        self._wake.set()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            try:
                await self._step()
            except LinnetwoodError as exc:
                log(Event.ORDER_REFUSED, code=exc.code, detail=exc.detail)
                await asyncio.sleep(_RETRY_S)
            await wait_for_event(self._wake, _WAKE_S)

    async def _step(self) -> None:
        report = self.report
        if report is None:
            return
        if report.born != self._engine_born:
            self._reset_engine_state(report.born)
        now_s = self._tools.clock.now()
        if now_s - self._ordered_at >= _SETTLE_S:
            # An order that had no effect by now is given again.
            self._ordered = None
        self._wanted.add_serving(report.serving.items())
        planned = self._next_version(now_s)
        if planned is None:
            return
        await self._fetch(*planned)
        target = self.target
        download = self.download
        if target is None or download is None:
            return
        await self._stage(target, download)
        if report.serving.get(target.model, 0) >= target.version:
            return
        if self._ordered == target and now_s - self._ordered_at < _SETTLE_S:
            return
        if not download.swarm.complete or report.changing:
            return
        if now_s >= self._switch_at(target, report, now_s):
            await self._check_or_order(target, download)

    def _reset_engine_state(self, born: int) -> None:
        """Forget what a previous incarnation of the engine was given."""
        if self._engine_born:
            log(Event.ENGINE_REBORN, before=self._engine_born, born=born)
        self._engine_born = born
        self._staged = StagedChunks()
        self._ordered = None
        self._ordered_at = -_SETTLE_S

    async def _fetch(self, newest: ModelVersion, inputs: PlanInputs) -> None:
        """Fetch the next version, and one that may be needed in addition.

        The previous target continues until a newer version's manifest has been
        received.
        """
        if newest != self.target and self._downloads.get(newest) is not None:
            self.target = newest
            self._staged = StagedChunks()
            self._completed_at = None
        await self._downloads.fetch_only(
            tuple(self._versions_to_fetch(newest, inputs))
        )
        if self.target is not None:
            self._downloads.prioritise(self.target)

    def _versions_to_fetch(
        self, newest: ModelVersion, inputs: PlanInputs
    ) -> Iterator[ModelVersion]:
        yield newest
        if self.target is None:
            return
        if self.target != newest:
            yield self.target
            return
        after = ModelVersion(newest.model, self._wanted.newest(newest.model))
        progress = inputs.progress.get(newest.version)
        if after == newest or progress is None:
            return
        if self._plan.may_read_ahead(progress):
            yield after

    def _first_wave(self, target: ModelVersion) -> bool:
        return waves.in_first_wave(
            self._tools.me,
            self.fleet.peers,
            target.name,
        )

    def _switch_at(
        self, target: ModelVersion, report: EngineReport, now_s: float
    ) -> float:
        if self._completed_at is None:
            self._completed_at = now_s
        cutoff = self._wanted.cutoff(target.model, target.version)
        serves_nothing = not report.serving.get(target.model, 0)
        if cutoff is None or serves_nothing:
            return now_s
        first = self._first_wave(target)
        return waves.change_due_at(
            self._completed_at,
            cutoff,
            ENGINE_SWITCH_S,
            first=first,
        )

    def _next_version(
        self, now: float
    ) -> tuple[ModelVersion, PlanInputs] | None:
        """Return the version to fetch next and the inputs of that plan."""
        for model in self._wanted.models():
            serving = self.report.serving.get(model, 0) if self.report else 0
            # The engine has accepted an order for this version, so its staged
            # chunks are no longer available.
            if self._ordered is not None and self._ordered.model == model:
                serving = max(serving, self._ordered.version)
            inputs = self._plan_inputs(model, serving, now)
            version = self._plan.choose_version(self._wanted, inputs)
            if version:
                self._log_plan(inputs, version)
                return ModelVersion(model, version), inputs
        return None

    def _log_plan(self, inputs: PlanInputs, version: int) -> None:
        if version == self._logged_version:
            return
        self._logged_version = version
        log(
            Event.VERSION_PLANNED,
            version=version,
            serving=inputs.serving,
            before=inputs.planned,
            closing_in_s={
                named: round(cutoff - inputs.now, 1)
                for named, cutoff in self._wanted.cutoffs(inputs.model)
            },
            lacking={
                known: progress.missing
                for known, progress in inputs.progress.items()
            },
            unread={
                known: progress.unread
                for known, progress in inputs.progress.items()
            },
        )

    def _plan_inputs(self, model: str, serving: int, now: float) -> PlanInputs:
        progress = self._downloads.progress_of(model)
        current = (
            self.target if self.target and self.target.model == model else None
        )
        return PlanInputs(
            model,
            serving,
            current.version if current else 0,
            now,
            self.transfer_s,
            self.fleet.chunk_origin_s,
            progress,
        )

    async def _stage(self, target: ModelVersion, download: Download) -> None:
        for index in chunks.indices(download.swarm.held & ~self._staged.bitmap):
            chunk = self._tools.store.chunk(download.manifest, index)
            if chunk is not None:
                await self._engine.stage(target.model, index, chunk)
                self._staged.add(index)

    async def _check_or_order(
        self, target: ModelVersion, download: Download
    ) -> None:
        """Give the order if all checks are recent, or make them so.

        After a check the next step decides anew, since it may have taken long.
        """
        clock = self._tools.clock
        count = download.swarm.count
        if clock.now() - self._ordered_at < _SETTLE_S:
            return
        order_by = self._staged.order_by(count)
        if clock.now() <= order_by:
            await self._order(target, order_by)
            return
        await self._check.run(target.model, download.manifest, self._staged)
        now = clock.now()
        if now <= self._staged.order_by(count):
            self._wake.set()
        elif self._staged.all_verified(count):
            log(
                Event.ORDER_WITHHELD,
                manifest=target.name,
                oldest_check_s=round(self._staged.oldest_check_s(now), 3),
            )

    async def _order(self, target: ModelVersion, order_by: float) -> None:
        report = await self._engine.report()
        if report.serving.get(target.model, 0) >= target.version:
            return
        if report.changing or report.born != self._engine_born:
            # The verified chunks were staged at the previous incarnation.
            return
        answer = await self._engine.activate(
            target.model,
            target.version,
            report.orders_taken,
            order_by,
        )
        now = self._tools.clock.now()
        log(
            Event.ORDER_GIVEN,
            manifest=target.name,
            answer=answer.value,
            running=report.running,
            oldest_check_s=round(self._staged.oldest_check_s(now), 3),
        )
        if answer not in {OrderResult.TAKEN, OrderResult.DONE}:
            # The checks may stay recent, so only a pause spaces the next order.
            raise OrderError('order-not-taken', answer.value)
        self._ordered_at = now
        self._ordered = target
        self._wake.set()
