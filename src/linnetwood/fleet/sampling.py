"""Ask a few VMs how far their transfers are, only when somebody wants to know.

Were each VM to tell its progress to all, a rollout to 2,300 VMs would fill the
control budget of every process several times over.
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
    """Ask VMs at random over connections of their own."""

    def __init__(self, dialler: Dialler, rng: Random) -> None:
        """Hold nothing between samples."""
        self._dialler = dialler
        self._rng = rng

    async def sample(
        self,
        deployment: Deployment,
        members: list[Member],
    ) -> dict[str, float]:
        """Give the fraction held by some VMs of each open rollout."""
        by_name = {member.vm: member for member in members}
        asked = self._choose_vms(deployment, members)
        found = await asyncio.gather(
            *(
                self._fraction_held(by_name[vm], wanted)
                for vm, wanted in asked.items()
            ),
        )
        return dict(zip(asked, found, strict=True))

    def _choose_vms(
        self,
        deployment: Deployment,
        members: list[Member],
    ) -> dict[str, str]:
        chosen = assign_intents(deployment, members)
        asked: dict[str, str] = {}
        for intent in deployment.intents:
            assigned = [one for one in members if chosen.get(one.vm) is intent]
            open_vms = [one.vm for one in incomplete_members(intent, assigned)]
            few = self._rng.sample(open_vms, min(_SAMPLED_VMS, len(open_vms)))
            wanted = version_label(intent.model, intent.version)
            asked.update(dict.fromkeys(few, wanted))
        return asked

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
