"""Read manifests again that do not fit the bytes received for a chunk."""

import asyncio
import functools
from collections.abc import Callable
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import LinnetwoodError
from linnetwood.core.events import Event, log
from linnetwood.weights import chunks
from linnetwood.weights.manifests import ManifestFinder
from linnetwood.weights.transfer import Download

_PAUSE_FIRST_S = 0.5
_PAUSE_MAX_S = 16.0
_PAUSE_MIN_SHARE = 0.5


class ManifestRereads:
    """Own a task for each download whose manifest may be wrong."""

    def __init__(
        self,
        finder: ManifestFinder,
        zone_vms: Callable[[], set[str]],
        partners: Callable[[str], list[str]],
        rng: Random,
    ) -> None:
        """Doubt no manifest yet."""
        self._finder = finder
        self._zone_vms = zone_vms
        self._partners = partners
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def watch(self, download: Download) -> None:
        """Read a download's manifest again when its chunks show a fault."""
        download.on_manifest_doubted = functools.partial(self._doubt, download)

    async def drop(self, name: str) -> None:
        """Stop reading a manifest."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _doubt(self, download: Download, index: int, digest: bytes) -> None:
        task = self._tasks.get(download.name)
        if task is not None and not task.done():
            return
        log(Event.MANIFEST_DOUBTED, manifest=download.name, index=index)
        self._tasks[download.name] = asyncio.create_task(
            self._reread(download, index, digest)
        )

    async def _reread(
        self, download: Download, index: int, digest: bytes
    ) -> None:
        """Find a manifest that fits the bytes received for a chunk."""
        model, _, version = download.name.rpartition('@')
        fits = functools.partial(
            _fits, len(download.manifest.digests), index, digest
        )
        failures = 0
        while not download.swarm.held >> index & 1:
            try:
                found = await self._finder.find(
                    model,
                    int(version),
                    self._zone_vms(),
                    self._partners,
                    fits,
                )
            except LinnetwoodError:
                await asyncio.sleep(self._pause_s(failures))
                failures += 1
                continue
            log(Event.MANIFEST_REPLACED, manifest=download.name, index=index)
            download.replace_manifest(found, index)
            return

    def _pause_s(self, failures: int) -> float:
        return pause_s(
            failures,
            self._rng,
            _PAUSE_FIRST_S,
            _PAUSE_MAX_S,
            _PAUSE_MIN_SHARE,
        )


def _fits(
    count: int, index: int, digest: bytes, manifest: chunks.Manifest
) -> bool:
    """Return whether a manifest has as many chunks, and this digest for one."""
    digests = manifest.digests
    return len(digests) == count and digests[index] == digest
