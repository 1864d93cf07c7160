"""Ask the origin for the newest version of a model of which nobody knows any.

Load pattern: all entries, endpoint processes and engines start at once after a
loss of power, and the list of engines was lost with them. The version that
served was never named, so no process knows it, and each VM needs it. The origin
knows it, but accepts few connections over one link: if each of 2,300 VMs asked
it once a second, manifests of 7 KB would take twenty times that link. So 2 VMs
of a zone ask in each round, others in the next, and the first to find the
version tells the entries.
"""

import asyncio
import itertools
from collections.abc import Callable, Collection

from linnetwood.core.errors import WeightsError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import TaskOwner
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.weights.chunks import Manifest
from linnetwood.weights.engine import Origin
from linnetwood.weights.manifests import rank

# One would do; the second covers a VM that is gone or has a slow link.
_READERS_PER_ROUND = 2
_ROUND_S = 1.0
# Entries and peers that know a version report it within this time.
_FIRST_ROUND_AFTER_S = 0.3

OnFound = Callable[[str, int, Manifest], None]


def is_reader(vm_rank: int, vms: int, round_number: int) -> bool:
    """Return whether the VM of a rank in its zone asks in a round, from 0."""
    rounds = -(-vms // _READERS_PER_ROUND)
    return vm_rank // _READERS_PER_ROUND == round_number % rounds


class VersionLookup(TaskOwner):
    """Own the task that asks while a version is unknown."""

    def __init__(
        self,
        me: str,
        origin: Origin,
        wanted: WantedVersions,
        zone_vms: Callable[[], set[str]],
        on_found: OnFound,
    ) -> None:
        """Ask nothing yet; call `on_found` with each version and manifest."""
        super().__init__()
        self._me = me
        self._origin = origin
        self._wanted = wanted
        self._zone_vms = zone_vms
        self._on_found = on_found
        self._models: tuple[str, ...] = ()
        self._requested = asyncio.Event()

    def request(self, models: Collection[str]) -> None:
        """Ask for these models until a version of each is known."""
        self._models = tuple(models)
        if self._models:
            self._requested.set()

    async def _run(self) -> None:
        while True:
            await self._requested.wait()
            self._requested.clear()
            await asyncio.sleep(_FIRST_ROUND_AFTER_S)
            for round_number in itertools.count():
                unknown = self._unknown()
                if not unknown:
                    break
                vms = self._zone_vms()
                vm_rank = rank(self._me, vms, 'versions')
                if is_reader(vm_rank, len(vms), round_number):
                    await self._ask_for(unknown)
                await asyncio.sleep(_ROUND_S)

    def _unknown(self) -> list[str]:
        return [
            model for model in self._models if not self._wanted.newest(model)
        ]

    async def _ask_for(self, models: list[str]) -> None:
        for model in models:
            try:
                version, manifest = await self._newest(model)
            except WeightsError as exc:
                log(Event.ORIGIN_UNREACHABLE, code=exc.code, detail=exc.detail)
                continue
            log(Event.VERSION_FOUND, model=model, version=version)
            self._wanted.add_serving([(model, version)])
            self._on_found(model, version, manifest)

    async def _newest(self, model: str) -> tuple[int, Manifest]:
        """Return the newest version and its manifest.

        Answers of the origin may be corrupt, and all processes would keep a
        number that is too high. So it counts only if the origin has the same
        manifest under this number.
        """
        version, newest = await self._origin.newest(model)
        numbered = await self._origin.manifest(model, version)
        if numbered.digests != newest.digests:
            raise WeightsError('version-not-confirmed', f'{model}@{version}')
        return version, numbered
