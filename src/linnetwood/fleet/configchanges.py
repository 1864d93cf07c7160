"""Write operators' configuration changes to the key-value service."""

import asyncio
from collections.abc import Callable

from linnetwood.core.clock import Clock
from linnetwood.core.errors import ConfigError, StoreAnswerLostError, StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet import configuration
from linnetwood.fleet.store import KeyValue, StoredValue
from linnetwood.gen.schema.ttypes import (
    Answer,
    Configuration,
    Deployment,
    Verdict,
)

_SETTLE_TRIES = 3
_SETTLE_PAUSE_S = 0.2
Adopt = Callable[[bytes], None]


class ConfigChanges:
    """Accept changes by compare-and-swap, and find out after a lost answer.

    An outcome that can't be found out is reported as not known.
    """

    def __init__(self, store: KeyValue, clock: Clock, adopt: Adopt) -> None:
        """Call `adopt` with each encoded configuration read or written."""
        self._store = store
        self._clock = clock
        self._adopt = adopt

    async def propose(self, proposal: configuration.Proposal) -> Answer:
        """Try one change; the verdict is accepted, refused or not known."""
        try:
            stored = await self._store.get(configuration.CONFIG_KEY)
        except StoreError as exc:
            return _refused(proposal, 0, 'store-unavailable', exc.detail)
        current = self._read(stored)
        earlier = configuration.find_change(current, proposal.operation_id)
        if earlier is not None:
            return _accepted(proposal, earlier.revision)
        if current.revision != proposal.base_revision:
            return _overtaken(proposal, current)
        return await self._swap(proposal, stored, current)

    async def settle(self, operation_id: str) -> Answer:
        """Return whether an earlier change was accepted."""
        proposal = configuration.Proposal(Deployment(), 0, operation_id, '', '')
        try:
            current = self._read(
                await self._store.get(configuration.CONFIG_KEY),
            )
        except StoreError as exc:
            return _unknown(proposal, exc.detail)
        change = configuration.find_change(current, operation_id)
        if change is not None:
            return _accepted(proposal, change.revision)
        if configuration.history_starts_after(current, 0):
            return _unknown(proposal, 'older than the history that is kept')
        return _refused(proposal, current.revision, 'not-accepted', '')

    async def _swap(
        self,
        proposal: configuration.Proposal,
        stored: StoredValue,
        current: Configuration,
    ) -> Answer:
        proposed = configuration.apply_proposal(
            current, proposal, self._clock.wall()
        )
        try:
            encoded = configuration.pack(proposed)
        except ConfigError as exc:
            return _refused(proposal, current.revision, exc.code, exc.detail)
        try:
            swapped = await self._store.swap(
                configuration.CONFIG_KEY,
                encoded,
                stored.version,
            )
        except StoreAnswerLostError:
            return await self._read_back(proposal)
        except StoreError as exc:
            return _refused(
                proposal,
                current.revision,
                'store-unavailable',
                exc.detail,
            )
        if not swapped.done:
            return await self._read_back(proposal)
        self._adopt(encoded)
        log(Event.CONFIG_CHANGE, revision=proposed.revision)
        return _accepted(proposal, proposed.revision)

    async def _read_back(self, proposal: configuration.Proposal) -> Answer:
        for attempt in range(_SETTLE_TRIES):
            await asyncio.sleep(_SETTLE_PAUSE_S * attempt)
            try:
                stored = await self._store.get(configuration.CONFIG_KEY)
            except StoreError:
                continue
            current = self._read(stored)
            change = configuration.find_change(current, proposal.operation_id)
            if change is not None:
                return _accepted(proposal, change.revision)
            # The lost write may still take effect, unless another change was
            # accepted on the same base.
            if current.revision > proposal.base_revision:
                return _overtaken(proposal, current)
        return _unknown(proposal, 'the answer of the service was lost')

    def _read(self, stored: StoredValue) -> Configuration:
        current = configuration.unpack(stored.payload)
        if stored.version:
            self._adopt(stored.payload)
        return current


def _accepted(proposal: configuration.Proposal, revision: int) -> Answer:
    return Answer(
        verdict=Verdict.ACCEPTED,
        revision=revision,
        operation_id=proposal.operation_id,
    )


def _refused(
    proposal: configuration.Proposal,
    revision: int,
    code: str,
    detail: str,
) -> Answer:
    return Answer(
        verdict=Verdict.REFUSED,
        revision=revision,
        operation_id=proposal.operation_id,
        code=code,
        detail=detail,
    )


def _overtaken(
    proposal: configuration.Proposal,
    current: Configuration,
) -> Answer:
    answer = _refused(
        proposal,
        current.revision,
        'overtaken',
        f'based on {proposal.base_revision}, in force is {current.revision}',
    )
    answer.since = configuration.changes_since(current, proposal.base_revision)
    return answer


def _unknown(proposal: configuration.Proposal, detail: str) -> Answer:
    return Answer(
        verdict=Verdict.NOT_KNOWN,
        revision=0,
        operation_id=proposal.operation_id,
        code='not-known-yet',
        detail=f'{detail}; ask again with settle',
    )
