"""Download the versions that this VM wants, each independently."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Sequence

from linnetwood.core.errors import LinnetwoodError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import supervise
from linnetwood.fleet.neighbours import partners
from linnetwood.gen.wire.ttypes import HeldNotice, Member
from linnetwood.weights import chunks
from linnetwood.weights.engine import Engine, Origin
from linnetwood.weights.manifestrereads import ManifestRereads
from linnetwood.weights.manifests import ManifestFinder
from linnetwood.weights.reading import Ring, SharedReading, ZoneReading
from linnetwood.weights.swarm import progress_of
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.weights.takeover import TakeoverPolicy, after_unread_chunks
from linnetwood.weights.transfer import Download, Tools
from linnetwood.weights.versionplan import ChunkProgress

_MANIFEST_RETRY_S = 0.3
_TAKEOVER_S = 1.0
# Up to 4 chunks may be queued before a requested one at a peer, which takes
# 0.3 s on the narrowest links.
_SILENCE_S = 0.8
# A chunk takes 54 ms on the narrowest links, and the 96 chunks of a version
# arrive one after the other.
_REMOTE_TAKEOVER_S = 3.0
# Each partner gets 10 notices of 60 bytes a second while chunks arrive: 1/20 of
# the bandwidth of the narrowest links.
_ZONE_PARTNERS = 24


# By manifest: the peers that the partners were chosen from, and the partners.
_Partners = dict[str, tuple[dict[str, str], list[str]]]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersion:
    """A version of a model."""

    model: str
    version: int

    @property
    def name(self) -> str:
        """Return the name of its manifest."""
        return f'{self.model}@{self.version}'


@dataclasses.dataclass(slots=True)
class FleetInfo:
    """What entries reported: zones by peer host, and figures of the origin."""

    peers: dict[str, str] = dataclasses.field(default_factory=dict)
    origin_bytes_per_s: float = 1.0e6
    # The size of a chunk; 0 until an entry reports it.
    chunk_bytes: int = 0

    @property
    def chunk_origin_s(self) -> float:
        """Return the seconds that a chunk takes on the origin's link."""
        return self.chunk_bytes / max(1, self.origin_bytes_per_s)


class VersionDownloads:
    """Own the downloads of the wanted versions.

    A version's download starts once its manifest has been received. Downloads
    that already run continue meanwhile.
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
        """Fetch nothing yet; call wake whenever a download starts."""
        self._takeover = takeover
        self.fleet = FleetInfo()
        self._tools = tools
        self._engine = engine
        self._manifests = ManifestFinder(
            tools.me,
            tools.fetcher,
            origin,
            wire_port,
            tools.rng,
        )
        self._port = wire_port
        self._on_start = wake
        self._recovered_models: set[str] = set()
        self._starting: dict[ModelVersion, asyncio.Task[None]] = {}
        self._downloads: dict[ModelVersion, Download] = {}
        self._rereads = ManifestRereads(
            self._manifests, self.zone_vms, self.partners, tools.rng
        )
        self._routed_peers: dict[ModelVersion, dict[str, str]] = {}
        self._partners: _Partners = {}

    def get(self, version_key: ModelVersion) -> Download | None:
        """Return the download of a version, or None before it started."""
        return self._downloads.get(version_key)

    async def fetch_only(self, version_keys: Sequence[ModelVersion]) -> None:
        """Fetch these versions and stop all other downloads."""
        for version_key in list(self._starting):
            if version_key not in version_keys:
                await _cancel(self._starting.pop(version_key))
        for version_key in list(self._downloads):
            if version_key not in version_keys:
                await self._drop(version_key)
        for version_key in version_keys:
            if (
                version_key not in self._starting
                and version_key not in self._downloads
            ):
                start = functools.partial(self._start_download, version_key)
                self._starting[version_key] = asyncio.create_task(
                    supervise(type(self).__name__, start)
                )
        for version_key, download in self._downloads.items():
            self._update_peers(version_key, download)

    def add_manifest(
        self, version_key: ModelVersion, manifest: chunks.Manifest
    ) -> None:
        """Keep a manifest that was read for another purpose."""
        self._tools.uploads.manifests.setdefault(version_key.name, manifest)

    def prioritise(self, first: ModelVersion) -> None:
        """Request other versions from peers only when this one is complete."""
        download = self._downloads.get(first)
        pending = download is not None and not download.swarm.complete
        for version_key, other in self._downloads.items():
            other.swarm.origin_only = pending and version_key != first

    def progress_of(self, model: str) -> dict[int, ChunkProgress]:
        """Return the progress of each version of a model."""
        return {
            version_key.version: progress_of(download.swarm)
            for version_key, download in self._downloads.items()
            if version_key.model == model
        }

    async def close(self) -> None:
        """Stop fetching."""
        await self.fetch_only(())
        self._tools.fetcher.close()

    def add_notice(self, notice: HeldNotice) -> None:
        """Record which chunks a peer holds."""
        self._manifests.record_holder(notice.manifest, notice.sender)
        for download in self._downloads.values():
            if download.name == notice.manifest:
                download.record_notice(notice)

    def partners(self, manifest: str) -> list[str]:
        """Return the hosts with which a version's chunks are exchanged.

        Both sides of a pair choose each other. Partners in the zone distribute
        the chunks that have reached it. Partners among all VMs form a random
        graph, which keeps paths from any holder short and bounds the number of
        notices about held chunks.
        """
        me = self._tools.me
        peers = self.fleet.peers
        known = self._partners.get(manifest)
        if known is not None and known[0] == peers:
            return known[1]
        near = partners(me, self.zone_vms(), manifest, _ZONE_PARTNERS)
        far = partners(me, peers, manifest, self._tools.cfg.neighbours)
        found = sorted({*near, *far})
        self._partners = self._drop_unused(self._partners)
        self._partners[manifest] = (peers, found)
        return found

    def notices(self) -> list[HeldNotice]:
        """Return which chunks of the fetched versions this VM holds."""
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

    def zone_vms(self) -> set[str]:
        """Return the hosts of this availability zone, this one included."""
        peers = self.fleet.peers
        zone = peers.get(self._tools.me)
        return {vm for vm, place in peers.items() if place == zone} | {
            self._tools.me,
        }

    def _drop_unused(
        self,
        known: _Partners,
    ) -> _Partners:
        """Return the entries of those versions that are still fetched."""
        fetched = {
            version_key.name
            for version_key in (*self._starting, *self._downloads)
        }
        return {
            name: cached for name, cached in known.items() if name in fetched
        }

    async def _start_download(self, version_key: ModelVersion) -> None:
        if version_key in self._downloads:
            # An error behind its start began this anew.
            return
        manifest = await self._wait_for_manifest(version_key)
        self._retain_manifests(version_key, manifest)
        cfg = self._options(manifest)
        policy, far = self._reading_policies(
            version_key, len(manifest.digests), cfg
        )
        download = Download(
            version_key.name, manifest, self._tools, policy, cfg, far
        )
        self._starting.pop(version_key, None)
        self._downloads[version_key] = download
        self._rereads.watch(download)
        download.start()
        log(
            Event.TRANSFER_STARTED,
            manifest=version_key.name,
            held=download.swarm.held.bit_count(),
            chunks=len(manifest.digests),
            peers=len(self.fleet.peers),
        )
        self._on_start()

    def _retain_manifests(
        self, version_key: ModelVersion, manifest: chunks.Manifest
    ) -> None:
        """Keep fetched versions and the previous one for requests of peers."""
        uploads = self._tools.uploads
        fetched = {download.name for download in self._downloads.values()}
        kept = dict(list(uploads.manifests.items())[-1:])
        for name, known in uploads.manifests.items():
            if name in fetched:
                kept[name] = known
        uploads.manifests = {**kept, version_key.name: manifest}
        self._tools.store.retain_only(list(uploads.manifests.values()))

    async def _drop(self, version_key: ModelVersion) -> None:
        log(Event.TRANSFER_DROPPED, manifest=version_key.name)
        self._routed_peers.pop(version_key, None)
        await self._rereads.drop(version_key.name)
        await self._downloads.pop(version_key).close()

    async def _wait_for_manifest(
        self, version_key: ModelVersion
    ) -> chunks.Manifest:
        while True:
            try:
                manifest = await self._manifest(version_key)
                await self._recover_staged(version_key, manifest)
            except LinnetwoodError as exc:
                log(Event.ORDER_REFUSED, code=exc.code, detail=exc.detail)
                await asyncio.sleep(_MANIFEST_RETRY_S)
            else:
                return manifest

    async def _manifest(self, version_key: ModelVersion) -> chunks.Manifest:
        known = self._tools.uploads.manifests.get(version_key.name)
        if known is not None:
            return known
        return await self._manifests.find(
            version_key.model,
            version_key.version,
            self.zone_vms(),
            self.partners,
        )

    async def _recover_staged(
        self, version_key: ModelVersion, manifest: chunks.Manifest
    ) -> None:
        """Restore chunks staged at the engine before this process restarted."""
        if version_key.model in self._recovered_models:
            return
        for index in await self._engine.staged(version_key.model):
            if index >= len(manifest.digests):
                continue
            chunk = await self._engine.read_staged(version_key.model, index)
            if chunk is not None:
                self._tools.store.keep(manifest, index, chunk)
        self._recovered_models.add(version_key.model)

    def _reading_policies(
        self,
        version_key: ModelVersion,
        count: int,
        cfg: SwarmOptions,
    ) -> tuple[SharedReading, ZoneReading]:
        me = self._tools.me
        near = self.zone_vms()
        all_vms = Ring(version_key.name, {*self.fleet.peers, me})
        return (
            SharedReading(
                me,
                all_vms,
                count,
                cfg,
                takeover=self._takeover,
            ),
            ZoneReading(
                me,
                Ring(version_key.name, near),
                len(near),
                count,
                _REMOTE_TAKEOVER_S,
            ),
        )

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

    def _update_peers(
        self, version_key: ModelVersion, download: Download
    ) -> None:
        if self._routed_peers.get(version_key) == self.fleet.peers:
            return
        self._routed_peers[version_key] = self.fleet.peers
        cfg = self._options(download.manifest)
        download.swarm.set_policies(
            *self._reading_policies(version_key, download.swarm.count, cfg)
        )
        near = self.zone_vms()
        hosts = self.partners(version_key.name)
        download.set_neighbours(
            [_host_member(host, self._port) for host in hosts]
        )
        download.set_near(near)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _host_member(host: str, port: int) -> Member:
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
