"""Bring the wanted version to this VM's engine, and let it serve."""

import asyncio
import dataclasses
import math

from linnetwood.calls.guard import Guard
from linnetwood.core.errors import LinnetwoodError, OrderError, WeightsError
from linnetwood.core.events import Event, log
from linnetwood.core.options import Transfer
from linnetwood.core.waits import happened
from linnetwood.fleet import placement
from linnetwood.fleet.configuration import manifest_of
from linnetwood.fleet.gossip import Address, GossipTask, Listener
from linnetwood.fleet.neighbours import neighbours
from linnetwood.gen.schema.ttypes import Configuration, Intent
from linnetwood.gen.wire.ttypes import HeldNotice, Member, TransferProgress
from linnetwood.weights import chunks
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.keeper import EngineKeeper, Target
from linnetwood.weights.orders import Orders
from linnetwood.weights.reading import (
    DirectReading,
    OriginPolicy,
    PreviousTurns,
    Ring,
    SharedReading,
)
from linnetwood.weights.staging import Staging
from linnetwood.weights.transfer import Download, Tools

_WAKE_S = 0.5
_NOTICE_REFRESH_S = 0.5
_MANIFEST_PAUSE_S = 0.03
_TAKEOVER_BASE_S = 1.0


class WeightsAgent(Listener):
    """Follow the configuration; one task owns the target and the download."""

    def __init__(
        self,
        tools: Tools,
        gossip: GossipTask,
        orders: Orders,
        guard: Guard,
    ) -> None:
        """Want nothing yet."""
        self.download: Download | None = None
        self.target: Target | None = None
        self._tools = tools
        self._gossip = gossip
        self._orders = orders
        self._keeper = EngineKeeper(gossip, orders, guard, tools.clock)
        self._configuration: Configuration | None = None
        self._wake = asyncio.Event()
        self._changed = True
        self._assigned: list[str] = []
        self._ring: list[str] = []
        self._staging: Staging | None = None
        self._noticed = (0, float())
        self._holders: dict[str, set[str]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to follow."""
        self._gossip.add_listener(self)
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._tell_held()),
        ]

    async def close(self) -> None:
        """Stop fetching; what the engine serves it goes on serving."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.download is not None:
            await self.download.close()
        self._tools.fetcher.close()

    def progress(self) -> TransferProgress:
        """Tell how far the transfer is."""
        download = self.download
        return TransferProgress(
            wanted=self.target.label if self.target else '',
            held=download.swarm.held.bit_count() if download else 0,
            total=download.swarm.count if download else 0,
        )

    def configured(self, configuration: Configuration) -> None:
        """Take in a newer configuration."""
        self._configuration = configuration
        self._wake_up()

    def member_changed(self, member: Member) -> None:
        """Work the target out again when the fleet changes."""
        self._wake_up()

    def revision_seen(self, revision: int, source: Address) -> None:
        """Trust what is known again after a pause, if nothing is newer."""
        standing = self._configuration
        if standing is None or revision <= standing.revision:
            self._keeper.pauses.confirm()

    def chunks_reported(self, notice: HeldNotice) -> None:
        """Take in what a neighbour holds."""
        if self.download is not None and self.download.name == notice.manifest:
            self.download.notice(notice)
        elif (
            self.target is not None and self.target.manifest == notice.manifest
        ):
            self._holders.setdefault(notice.manifest, set()).add(notice.sender)

    def _wake_up(self) -> None:
        self._changed = True
        self._wake.set()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            self._keeper.pauses.tick(self._tools.clock.now())
            try:
                await self._step()
            except LinnetwoodError as exc:
                log(Event.ORDER_REFUSED, code=exc.code, detail=exc.detail)
            await happened(self._wake, _WAKE_S)

    async def _step(self) -> None:
        if self._changed:
            self._changed = False
            await self._aim()
        if self.target is None:
            return
        if self._keeper.serves(self.target):
            kept = await self._keeper.still_serves(self.target)
            if not kept and self._staging is not None:
                self._staging.begin_again()
            return
        if self.download is None:
            await self._begin(self.target)
        if self.download is None or not self.download.swarm.complete:
            return
        if self._staging is not None:
            await self._put_in_service(
                self.target,
                self.download,
                self._staging,
            )

    async def _aim(self) -> None:
        if self._configuration is None:
            return
        members = list(self._gossip.members.values())
        chosen = placement.assign_intents(
            self._configuration.deployment, members
        )
        intent = chosen.get(self._gossip.own_record.vm)
        target = self._target(intent)
        if target != self.target:
            await self._retarget(target)
        assigned = [vm for vm, one in chosen.items() if one is intent]
        if assigned != self._assigned and intent is not None:
            self._assigned = assigned
            deployment = self._configuration.deployment
            ring = placement.assigned_with_failed(deployment, members, intent)
            self._ring = sorted({*assigned, *ring})
            self._meet_neighbours()

    def _target(self, intent: Intent | None) -> Target | None:
        if intent is None or self._configuration is None:
            return None
        deployment = self._configuration.deployment
        manifest = manifest_of(deployment, intent.model, intent.version)
        label = placement.version_label(intent.model, intent.version)
        return Target(label, manifest, intent)

    async def _retarget(self, target: Target | None) -> None:
        same = (
            target is not None
            and self.target is not None
            and target.manifest == self.target.manifest
            and target.label == self.target.label
        )
        self.target = target
        if same:
            return
        if self.download is not None:
            await self.download.close()
            log(Event.TRANSFER_DROPPED, manifest=self.download.name)
        self.download = None
        self._staging = None
        if self._gossip.own_record.wanted:
            self._gossip.update_self(wanted='', held=0, total=0)

    async def _begin(self, target: Target) -> None:
        if await self._keeper.believe(target):
            return
        manifest = await self._manifest(target)
        if manifest is None:
            return
        self.download = self._make_download(target, manifest)
        self.download.kept = self._kept
        self._staging = Staging(
            self._orders,
            self._tools.store,
            self.download,
        )
        self._meet_neighbours()
        self.download.start()
        log(Event.TRANSFER_STARTED, version=target.label)

    async def _manifest(self, target: Target) -> chunks.Manifest | None:
        known = self._tools.uploads.manifests.get(target.manifest)
        if known is not None:
            return known
        ring = Ring(target.manifest, self._assigned)
        me = self._gossip.own_record.vm
        policy = SharedReading(
            me, ring, 0, swarm_options(self._tools.cfg, len(self._assigned), 1)
        )
        started = self._tools.clock.now()
        while self.target is target and not self._changed:
            due = policy.due_at(chunks.MANIFEST_INDEX, started)
            mine = due is not None and due <= self._tools.clock.now()
            if mine or self._holders.get(target.manifest):
                try:
                    return await self._read_manifest(target)
                except LinnetwoodError as exc:
                    log(Event.ORIGIN_UNREACHABLE, detail=str(exc))
            await asyncio.sleep(_MANIFEST_PAUSE_S)
        return None

    async def _read_manifest(self, target: Target) -> chunks.Manifest:
        name = target.manifest
        holders = sorted(self._holders.get(name, set()))
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
            self._tools.tally.origin_bytes += len(encoded)
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
            self._policy(target.manifest, manifest),
            swarm_options(
                self._tools.cfg,
                len(self._assigned),
                manifest.chunk_bytes,
            ),
        )

    def _policy(
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
        view = self._gossip.members
        manifest = self.target.manifest if self.target else ''
        chosen = neighbours(
            me,
            self._ring,
            manifest,
            self._tools.cfg.neighbours,
        )
        alive = set(self._assigned)
        return [view[vm] for vm in chosen if vm in alive and vm in view]

    def _meet_neighbours(self) -> None:
        download = self.download
        if download is None or self._tools.cfg.reading != 'shared':
            return
        # Whoever is gone has no turn at the origin any more.
        swarm = download.swarm
        elapsed_s = self._tools.clock.now() - swarm.started
        before = PreviousTurns(swarm.policy.assigned(), elapsed_s)
        swarm.policy = self._policy(
            download.name,
            download.manifest,
            before,
        )
        download.neighbours(self._neighbour_members())

    def _kept(self, index: int, chunk: bytes) -> None:
        if self._staging is not None:
            self._staging.add(index)
        self._wake.set()

    async def _tell_held(self) -> None:
        while True:
            await asyncio.sleep(self._tools.cfg.notice_every_s)
            if self.download is not None:
                self._notice(self.download)
            if self._staging is not None and await self._staging.hand_over():
                self._wake.set()

    def _notice(self, download: Download) -> None:
        now = self._tools.clock.now()
        held, told_at = self._noticed
        if held == download.swarm.held and now - told_at < _NOTICE_REFRESH_S:
            return
        self._noticed = (download.swarm.held, now)
        notice = HeldNotice(
            sender=self._gossip.own_record.vm,
            manifest=download.name,
            held=chunks.to_bytes(download.swarm.held, download.swarm.count),
            queued=self._tools.uploads.queued,
        )
        self._gossip.send_held_chunks(self._neighbour_members(), notice)

    async def _put_in_service(
        self,
        target: Target,
        download: Download,
        staging: Staging,
    ) -> None:
        await staging.hand_over()
        if not staging.complete:
            return
        if not self._keeper.may_load(target, download.swarm.count):
            return
        if not self._tools.store.whole(download.manifest):
            raise WeightsError('whole-digest-differs', target.label)
        await self._keeper.leave_service()
        if self._changed:
            # What is wanted may be another version by now.
            return
        await self._load(target, download, staging)
        self._keeper.go_into_service(target, download.swarm.count)
        log(
            Event.TRANSFER_COMPLETE,
            version=target.label,
            **dataclasses.asdict(self._tools.tally),
        )

    async def _load(
        self,
        target: Target,
        download: Download,
        staging: Staging,
    ) -> None:
        standing = self._configuration
        revision = standing.revision if standing else 0
        try:
            await self._keeper.order(target, download.manifest, revision)
        except OrderError:
            # The engine may have been started anew and hold nothing.
            staging.begin_again()
            raise


def swarm_options(cfg: Transfer, vms: int, chunk_bytes: int) -> SwarmOptions:
    """Size the windows of a transfer from fleet, chunk and rate."""
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
