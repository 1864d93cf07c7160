"""Poll the platform's list of VMs, which lags behind, for leaving ones."""

import asyncio
import json
from collections.abc import Iterator
from random import Random
from typing import Protocol

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import TaskOwner
from linnetwood.fleet.configtask import backoff_s
from linnetwood.fleet.gossip import GossipTask
from linnetwood.fleet.members import Health, copy
from linnetwood.gen.wire.ttypes import Member
from linnetwood.wire.http import fetch

_LEAVING = 'leaving'
_OK = 200
_TIMEOUT_S = 2.0
_EVERY_S = 1.0
_JITTER_LOW = 0.8


class VmList(Protocol):
    """The platform's list of VMs."""

    async def leaving(self) -> frozenset[str]:
        """Return the VMs listed as leaving; raise StoreError on failure."""


class HttpVmList:
    """The list over HTTP: a JSON array of objects with vm and state."""

    def __init__(self, url: str, client: AsyncHTTPClient) -> None:
        """Read the list from a URL."""
        self._url = url
        self._client = client

    async def leaving(self) -> frozenset[str]:
        """Return the VMs listed as leaving."""
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
    """Yield a leaving record for each alive member that the list names.

    The list lags, so it may still name a VM whose process has restarted
    since. A record therefore names the incarnation that is known now, and
    the process confirms by announcing itself that it leaves.
    """
    for vm in sorted(listed):
        member = members.get(vm)
        if member is not None and member.status == Health.ALIVE:
            yield copy(member, status=int(Health.LEAVING))


class VmListTask(TaskOwner):
    """Poll the list while this process is one of the few watchers."""

    def __init__(
        self,
        vm_list: VmList,
        gossip: GossipTask,
        is_watcher: 'IsWatcher',
        rng: Random,
    ) -> None:
        """Prepare the task; `start` begins to poll."""
        super().__init__()
        self._vm_list = vm_list
        self._gossip = gossip
        self._is_watcher = is_watcher
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
        for record in leaving_records(self._gossip.members, listed):
            self._gossip.receive_record(record)


class IsWatcher(Protocol):
    """Determine whether this process is one that polls the platform."""

    def __call__(self) -> bool:
        """Return true while it is."""
