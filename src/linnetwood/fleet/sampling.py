"""Sample the transfer progress of a few VMs when a status is requested.

If each VM sent its progress to all, a rollout to 2,300 VMs would exceed the
budget for control traffic of every process several times over.
"""

import asyncio
from random import Random

from linnetwood.core.errors import LinnetwoodError
from linnetwood.fleet.placement import assign_intents, version_label
from linnetwood.fleet.progress import incomplete_members
from linnetwood.gen.schema.ttypes import Deployment
from linnetwood.gen.wire.ttypes import Member, TransferProgress
from linnetwood.wire.codec import decode
from linnetwood.wire.connections import Dialler
from linnetwood.wire.frames import FrameKind

_SAMPLED_VMS = 16
_TIMEOUT_S = 0.5


class ProgressSampler:
    """Ask VMs chosen at random, each over a new connection."""

    def __init__(self, dialler: Dialler, rng: Random) -> None:
        """Use a dialler for the connections; no state is kept."""
        self._dialler = dialler
        self._rng = rng

    async def sample(
        self,
        deployment: Deployment,
        members: list[Member],
    ) -> dict[str, float]:
        """Return the fraction held (0 to 1) by some VMs of each open rollout.

        A VM that does not answer in time counts as holding nothing.
        """
        by_name = {member.vm: member for member in members}
        wanted_by_vm = self._choose_vms(deployment, members)
        fractions = await asyncio.gather(
            *(
                self._fraction_held(by_name[vm], wanted)
                for vm, wanted in wanted_by_vm.items()
            ),
        )
        return dict(zip(wanted_by_vm, fractions, strict=True))

    def _choose_vms(
        self,
        deployment: Deployment,
        members: list[Member],
    ) -> dict[str, str]:
        chosen = assign_intents(deployment, members)
        wanted_by_vm: dict[str, str] = {}
        for intent in deployment.intents:
            assigned = [
                member for member in members if chosen.get(member.vm) is intent
            ]
            open_vms = [
                member.vm for member in incomplete_members(intent, assigned)
            ]
            sampled = self._rng.sample(
                open_vms, min(_SAMPLED_VMS, len(open_vms))
            )
            wanted = version_label(intent.model, intent.version)
            wanted_by_vm.update(dict.fromkeys(sampled, wanted))
        return wanted_by_vm

    async def _fraction_held(self, member: Member, wanted: str) -> float:
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                progress = await self._request_progress(member)
        except (LinnetwoodError, TimeoutError):
            return 0
        if progress.wanted != wanted or not progress.total:
            return 0
        return progress.held / progress.total

    async def _request_progress(self, member: Member) -> TransferProgress:
        stream = await self._dialler.dial((member.host, member.port))
        try:
            await stream.write(FrameKind.PROGRESS_REQUEST, b'')
            frame = await stream.read()
        finally:
            stream.close()
        return decode(TransferProgress, frame.payload)
