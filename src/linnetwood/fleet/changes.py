"""Bring an operator's change into the key-value service, never guessing."""

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
    """Accept changes by compare-and-swap and settle lost answers."""

    def __init__(self, store: KeyValue, clock: Clock, adopt: Adopt) -> None:
        """Adopt each configuration that is read or written."""
        self._store = store
        self._clock = clock
        self._adopt = adopt

    async def propose(self, proposal: configuration.Proposal) -> Answer:
        """Try one change; say accepted, refused or not known yet."""
        try:
            stored = await self._store.get(configuration.CONFIG_KEY)
        except StoreError as exc:
            return _refused(proposal, 0, 'store-unavailable', exc.detail)
        standing = self._read(stored)
        earlier = configuration.find_change(standing, proposal.operation_id)
        if earlier is not None:
            return _accepted(proposal, earlier.revision)
        if standing.revision != proposal.base_revision:
            return _overtaken(proposal, standing)
        return await self._swap(proposal, stored, standing)

    async def settle(self, operation_id: str) -> Answer:
        """Say whether an earlier change was accepted."""
        probe = configuration.Proposal(Deployment(), 0, operation_id, '', '')
        try:
            standing = self._read(
                await self._store.get(configuration.CONFIG_KEY),
            )
        except StoreError as exc:
            return _unknown(probe, exc.detail)
        change = configuration.find_change(standing, operation_id)
        if change is not None:
            return _accepted(probe, change.revision)
        if configuration.history_starts_after(standing, 0):
            return _unknown(probe, 'older than the history that is kept')
        return _refused(probe, standing.revision, 'not-accepted', '')

    async def _swap(
        self,
        proposal: configuration.Proposal,
        stored: StoredValue,
        standing: Configuration,
    ) -> Answer:
        wanted = configuration.apply_proposal(
            standing, proposal, self._clock.wall()
        )
        try:
            encoded = configuration.pack(wanted)
        except ConfigError as exc:
            return _refused(proposal, standing.revision, exc.code, exc.detail)
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
                standing.revision,
                'store-unavailable',
                exc.detail,
            )
        if not swapped.done:
            return await self._read_back(proposal)
        self._adopt(encoded)
        log(Event.CONFIG_CHANGE, revision=wanted.revision)
        return _accepted(proposal, wanted.revision)

    async def _read_back(self, proposal: configuration.Proposal) -> Answer:
        for attempt in range(_SETTLE_TRIES):
            await asyncio.sleep(_SETTLE_PAUSE_S * attempt)
            try:
                stored = await self._store.get(configuration.CONFIG_KEY)
            except StoreError:
                continue
            standing = self._read(stored)
            change = configuration.find_change(standing, proposal.operation_id)
            if change is not None:
                return _accepted(proposal, change.revision)
            # A lost write may still be on its way, unless it was overtaken.
            if standing.revision > proposal.base_revision:
                return _overtaken(proposal, standing)
        return _unknown(proposal, 'the answer of the service was lost')

    def _read(self, stored: StoredValue) -> Configuration:
        standing = configuration.unpack(stored.payload)
        if stored.version:
            self._adopt(stored.payload)
        return standing


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
    standing: Configuration,
) -> Answer:
    answer = _refused(
        proposal,
        standing.revision,
        'overtaken',
        f'based on {proposal.base_revision}, in force is {standing.revision}',
    )
    answer.since = configuration.changes_since(standing, proposal.base_revision)
    return answer


def _unknown(proposal: configuration.Proposal, detail: str) -> Answer:
    return Answer(
        verdict=Verdict.NOT_KNOWN,
        revision=0,
        operation_id=proposal.operation_id,
        code='not-known-yet',
        detail=f'{detail}; ask again with settle',
    )
