"""Follow the platform's lagging list of live and leaving VMs."""

import asyncio
import json
from collections.abc import Iterator
from random import Random
from typing import Protocol

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import Owner
from linnetwood.fleet.gossip import GossipTask
from linnetwood.fleet.members import Health, copy
from linnetwood.fleet.watching import backoff_s
from linnetwood.gen.wire.ttypes import Member
from linnetwood.wire.http import fetch

_LEAVING = 'leaving'
_OK = 200
_TIMEOUT_S = 2.0
_EVERY_S = 1.0
_JITTER_LOW = 0.8


class VmList(Protocol):
    """Read the platform's list."""

    async def leaving(self) -> frozenset[str]:
        """Give the VMs that are listed as leaving; raise StoreError."""


class HttpVmList:
    """Read the list over HTTP: a JSON array of objects with vm and state."""

    def __init__(self, url: str, client: AsyncHTTPClient) -> None:
        """Reach the list at a URL."""
        self._url = url
        self._client = client

    async def leaving(self) -> frozenset[str]:
        """Read the list."""
        req = HTTPRequest(self._url, request_timeout=_TIMEOUT_S)
        reply = await fetch(self._client, req)
        if reply.code != _OK:
            raise StoreError('vm-list-unreachable', str(reply.error))
        try:
            rows = json.loads(reply.body)
            return frozenset(
                str(row['vm']) for row in rows if row['state'] == _LEAVING
            )
        except (ValueError, TypeError, KeyError) as exc:
            raise StoreError('vm-list-bad-answer', repr(exc)) from exc


def leaving_records(
    members: dict[str, Member],
    listed: frozenset[str],
) -> Iterator[Member]:
    """Yield the statements that the list adds to what is known.

    The list lags, so it may still name a VM whose process has started anew
    since; only the incarnation that is known now is told, and the process
    itself decides nothing less than to leave.
    """
    for vm in sorted(listed):
        member = members.get(vm)
        if member is not None and member.status == Health.ALIVE:
            yield copy(member, status=int(Health.LEAVING))


class VmListTask(Owner):
    """Ask the list, if this process is one of the few that watch."""

    def __init__(
        self,
        vm_list: VmList,
        gossip: GossipTask,
        falls_to_me: 'IsWatcher',
        rng: Random,
    ) -> None:
        """Start nothing yet."""
        super().__init__()
        self._vm_list = vm_list
        self._gossip = gossip
        self._is_watcher = falls_to_me
        self._rng = rng

    async def _run(self) -> None:
        failures = 0
        while True:
            await asyncio.sleep(_EVERY_S * self._rng.uniform(_JITTER_LOW, 1))
            if not self._is_watcher():
                continue
            try:
                listed = await self._vm_list.leaving()
            except StoreError as exc:
                failures += 1
                log(Event.VM_LIST_UNREACHABLE, code=exc.code)
                await asyncio.sleep(backoff_s(failures, self._rng))
                continue
            failures = 0
            self._mark_leaving(listed)

    def _mark_leaving(self, listed: frozenset[str]) -> None:
        for statement in leaving_records(self._gossip.members, listed):
            self._gossip.receive_record(statement)


class IsWatcher(Protocol):
    """Tell whether this process is one of those that ask the platform."""

    def __call__(self) -> bool:
        """Say so."""
