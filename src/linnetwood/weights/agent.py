"""Fetch the wanted version for this VM's engine and put it in service."""

import asyncio
import dataclasses
import functools
import math

from linnetwood.calls.guard import Guard
from linnetwood.core.errors import LinnetwoodError, OrderError, WeightsError
from linnetwood.core.events import Event, log
from linnetwood.core.options import Transfer
from linnetwood.core.owner import supervise
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet import placement
from linnetwood.fleet.configuration import manifest_of
from linnetwood.fleet.gossip import Address, GossipTask, Listener
from linnetwood.fleet.neighbours import neighbours
from linnetwood.gen.schema.ttypes import Configuration, Intent
from linnetwood.gen.wire.ttypes import HeldNotice, Member, TransferProgress
from linnetwood.weights import chunks
from linnetwood.weights.enginecontroller import (
    WITHHELD,
    EngineController,
    Target,
)
from linnetwood.weights.orders import OrderClient
from linnetwood.weights.reading import (
    DirectReading,
    OriginPolicy,
    PreviousTurns,
    Ring,
    SharedReading,
)
from linnetwood.weights.staging import Staging
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.weights.transfer import Download, Tools

_MAX_WAIT_S = 0.5
_NOTICE_REFRESH_S = 0.5
_MANIFEST_POLL_S = 0.03
_TAKEOVER_BASE_S = 1.0


class WeightsAgent(Listener):
    """Follow the configuration; one task owns the target and the download."""

    def __init__(
        self,
        tools: Tools,
        gossip: GossipTask,
        orders: OrderClient,
        guard: Guard,
    ) -> None:
        """Start without a target."""
        self.download: Download | None = None
        self.target: Target | None = None
        self._tools = tools
        self._gossip = gossip
        self._orders = orders
        self._keeper = EngineController(gossip, orders, guard, tools.clock)
        self._configuration: Configuration | None = None
        self._wake = asyncio.Event()
        self._is_target_stale = True
        self._assigned: list[str] = []
        self._ring: list[str] = []
        self._staging: Staging | None = None
        self._last_notice = (0, float())
        self._manifest_holders: dict[str, set[str]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks and listen for gossip."""
        self._gossip.add_listener(self)
        self._tasks = [
            asyncio.create_task(supervise('WeightsAgent', work))
            for work in (self._run, self._report_held)
        ]

    async def close(self) -> None:
        """Stop fetching; the engine goes on serving its version."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.download is not None:
            await self.download.close()
        self._tools.fetcher.close()

    def progress(self) -> TransferProgress:
        """Give the wanted version and its chunks: held and in total."""
        download = self.download
        return TransferProgress(
            wanted=self.target.label if self.target else '',
            held=download.swarm.held.bit_count() if download else 0,
            total=download.swarm.count if download else 0,
        )

    def apply_config(self, configuration: Configuration) -> None:
        """Replace the configuration by a newer one."""
        self._configuration = configuration
        self._wake_up()

    def member_changed(self, member: Member) -> None:
        """Compute the target again when the fleet changes."""
        self._wake_up()

    def revision_seen(self, revision: int, source: Address) -> None:
        """Confirm the configuration after a pause, if a peer has none newer."""
        current = self._configuration
        if current is None or revision <= current.revision:
            self._keeper.pauses.confirm()

    def chunks_reported(self, notice: HeldNotice) -> None:
        """Record which chunks a neighbour holds."""
        if self.download is not None and self.download.name == notice.manifest:
            self.download.record_notice(notice)
        elif (
            self.target is not None and self.target.manifest == notice.manifest
        ):
            self._manifest_holders.setdefault(notice.manifest, set()).add(
                notice.sender
            )

    def _wake_up(self) -> None:
        self._is_target_stale = True
        self._wake.set()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            self._keeper.pauses.tick(self._tools.clock.now())
            try:
                await self._step()
            except LinnetwoodError as exc:
                log(Event.ORDER_REFUSED, code=exc.code, detail=exc.detail)
            await wait_for_event(self._wake, _MAX_WAIT_S)

    async def _step(self) -> None:
        if self._is_target_stale:
            self._is_target_stale = False
            await self._update_target()
        if self.target is None:
            return
        if self._keeper.serves(self.target):
            is_serving = await self._keeper.still_serves(self.target)
            if not is_serving and self._staging is not None:
                self._staging.restart()
            return
        if self.download is None:
            await self._begin_download(self.target)
        if self.download is None or not self.download.swarm.complete:
            return
        if self._staging is not None:
            await self._put_in_service(
                self.target,
                self.download,
                self._staging,
            )

    async def _update_target(self) -> None:
        if self._configuration is None:
            return
        members = list(self._gossip.members.values())
        assignments = self._assignments()
        intent = assignments.get(self._gossip.own_record.vm)
        target = self._target_of(intent)
        if target != self.target:
            await self._set_target(target)
        assigned = [
            vm
            for vm, assigned_intent in assignments.items()
            if assigned_intent is intent
        ]
        if assigned != self._assigned and intent is not None:
            self._assigned = assigned
            deployment = self._configuration.deployment
            ring = placement.assigned_with_failed(deployment, members, intent)
            self._ring = sorted({*assigned, *ring})
            self._update_neighbours()

    def _assignments(self) -> dict[str, Intent]:
        """Give the intent of each VM by configuration and fleet as of now."""
        if self._configuration is None:
            return {}
        return placement.assign_intents(
            self._configuration.deployment,
            list(self._gossip.members.values()),
        )

    def _is_wanted(self, target: Target) -> bool:
        """Tell whether this VM is still to serve the version of a target."""
        intent = self._assignments().get(self._gossip.own_record.vm)
        wanted = self._target_of(intent)
        return wanted is not None and wanted.is_same_version(target)

    def _target_of(self, intent: Intent | None) -> Target | None:
        if intent is None or self._configuration is None:
            return None
        deployment = self._configuration.deployment
        manifest = manifest_of(deployment, intent.model, intent.version)
        label = placement.version_label(intent.model, intent.version)
        return Target(label, manifest, intent)

    async def _set_target(self, target: Target | None) -> None:
        same_version = (
            target is not None
            and self.target is not None
            and target.is_same_version(self.target)
        )
        self.target = target
        if same_version:
            return
        if self.download is not None:
            await self.download.close()
            log(Event.TRANSFER_DROPPED, manifest=self.download.name)
        self.download = None
        self._staging = None
        if self._gossip.own_record.wanted:
            self._gossip.update_self(wanted='', held=0, total=0)

    async def _begin_download(self, target: Target) -> None:
        if await self._keeper.adopt_if_served(target):
            return
        manifest = await self._obtain_manifest(target)
        if manifest is None:
            return
        self.download = self._make_download(target, manifest)
        self.download.on_chunk_kept = self._on_chunk_kept
        self._staging = Staging(
            self._orders,
            self._tools.store,
            self.download,
        )
        self._update_neighbours()
        self.download.start()
        log(Event.TRANSFER_STARTED, version=target.label)

    async def _obtain_manifest(self, target: Target) -> chunks.Manifest | None:
        cached = self._tools.uploads.manifests.get(target.manifest)
        if cached is not None:
            return cached
        ring = Ring(target.manifest, self._assigned)
        me = self._gossip.own_record.vm
        policy = SharedReading(
            me, ring, 0, swarm_options(self._tools.cfg, len(self._assigned), 1)
        )
        started_at = self._tools.clock.now()
        while self.target is target and not self._is_target_stale:
            due = policy.due_at(chunks.MANIFEST_INDEX, started_at)
            is_due = due is not None and due <= self._tools.clock.now()
            if is_due or self._manifest_holders.get(target.manifest):
                try:
                    return await self._read_manifest(target)
                except LinnetwoodError as exc:
                    log(Event.ORIGIN_UNREACHABLE, detail=str(exc))
            await asyncio.sleep(_MANIFEST_POLL_S)
        return None

    async def _read_manifest(self, target: Target) -> chunks.Manifest:
        name = target.manifest
        holders = sorted(self._manifest_holders.get(name, set()))
        if holders:
            vm = self._tools.rng.choice(holders)
            member = self._gossip.members[vm]
            _, encoded = await self._tools.fetcher.fetch(
                vm,
                (member.host, member.port),
                name,
                chunks.MANIFEST_INDEX,
            )
        else:
            encoded = await self._tools.origin.read(name, chunks.MANIFEST_INDEX)
            self._tools.counters.origin_bytes += len(encoded)
        return chunks.read_manifest(encoded, name)

    def _make_download(
        self,
        target: Target,
        manifest: chunks.Manifest,
    ) -> Download:
        return Download(
            target.manifest,
            manifest,
            self._tools,
            self._make_policy(target.manifest, manifest),
            swarm_options(
                self._tools.cfg,
                len(self._assigned),
                manifest.chunk_bytes,
            ),
        )

    def _make_policy(
        self,
        name: str,
        manifest: chunks.Manifest,
        before: PreviousTurns | None = None,
    ) -> OriginPolicy:
        count = len(manifest.digests)
        if self._tools.cfg.reading == 'direct':
            return DirectReading(count)
        ring = Ring(name, self._assigned)
        cfg = swarm_options(
            self._tools.cfg,
            len(self._assigned),
            manifest.chunk_bytes,
        )
        return SharedReading(
            self._gossip.own_record.vm, ring, count, cfg, before
        )

    def _neighbour_members(self) -> list[Member]:
        me = self._gossip.own_record.vm
        members = self._gossip.members
        manifest = self.target.manifest if self.target else ''
        chosen = neighbours(
            me,
            self._ring,
            manifest,
            self._tools.cfg.neighbours,
        )
        assigned = set(self._assigned)
        return [
            members[vm] for vm in chosen if vm in assigned and vm in members
        ]

    def _update_neighbours(self) -> None:
        download = self.download
        if download is None or self._tools.cfg.reading != 'shared':
            return
        # VMs that have left the fleet lose their turns at the origin.
        swarm = download.swarm
        elapsed_s = self._tools.clock.now() - swarm.started_at
        before = PreviousTurns(swarm.policy.assigned(), elapsed_s)
        swarm.policy = self._make_policy(
            download.name,
            download.manifest,
            before,
        )
        download.set_neighbours(self._neighbour_members())

    def _on_chunk_kept(self, index: int, chunk: bytes) -> None:
        if self._staging is not None:
            self._staging.add(index)
        self._wake.set()

    async def _report_held(self) -> None:
        while True:
            await asyncio.sleep(self._tools.cfg.notice_every_s)
            if self.download is not None:
                self._send_notice(self.download)
            if self._staging is not None and await self._staging.stage_queued():
                self._wake.set()

    def _send_notice(self, download: Download) -> None:
        now = self._tools.clock.now()
        held, sent_at = self._last_notice
        if held == download.swarm.held and now - sent_at < _NOTICE_REFRESH_S:
            return
        self._last_notice = (download.swarm.held, now)
        notice = HeldNotice(
            sender=self._gossip.own_record.vm,
            manifest=download.name,
            held=chunks.pack_bitmap(download.swarm.held, download.swarm.count),
            queued=self._tools.uploads.queued,
        )
        self._gossip.send_held_chunks(self._neighbour_members(), notice)

    async def _put_in_service(
        self,
        target: Target,
        download: Download,
        staging: Staging,
    ) -> None:
        await staging.stage_queued()
        if not staging.complete:
            return
        if not self._keeper.may_load(target, download.swarm.count):
            return
        if not self._tools.store.verify(download.manifest):
            raise WeightsError('whole-digest-differs', target.label)
        await self._keeper.leave_service()
        if self._is_target_stale:
            # The wanted version may have changed while calls finished.
            return
        await self._load(target, download, staging)
        self._keeper.go_into_service(target, download.swarm.count)
        log(
            Event.TRANSFER_COMPLETE,
            version=target.label,
            **dataclasses.asdict(self._tools.counters),
        )

    async def _load(
        self,
        target: Target,
        download: Download,
        staging: Staging,
    ) -> None:
        current = self._configuration
        revision = current.revision if current else 0
        try:
            await self._keeper.order(
                target,
                download.manifest,
                revision,
                functools.partial(self._is_wanted, target),
            )
        except OrderError as exc:
            if exc.code not in WITHHELD:
                # The engine may have restarted and hold no chunks.
                staging.restart()
            raise


def swarm_options(cfg: Transfer, vms: int, chunk_bytes: int) -> SwarmOptions:
    """Derive the limits of a transfer from fleet, chunk size and link rate."""
    link_rate = cfg.link_bytes_per_s or cfg.origin_bytes_per_s
    hops = math.log2(vms + 1) + cfg.window
    takeover_s = _TAKEOVER_BASE_S + hops * cfg.window * chunk_bytes / link_rate
    return SwarmOptions(
        window=cfg.window,
        queue_limit=cfg.upload_queue,
        chunk_origin_s=chunk_bytes / cfg.origin_bytes_per_s,
        takeover_s=takeover_s,
        request_timeout_s=takeover_s,
    )
