"""Follow the newest configuration.

A few processes of each region watch the key-value service; the others fetch
from their peers.
"""

import asyncio
import functools
from collections.abc import Callable
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.core.clock import Clock
from linnetwood.core.errors import LinnetwoodError, StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import supervise
from linnetwood.fleet import configuration
from linnetwood.fleet.gossip import Address, GossipTask, Listener
from linnetwood.fleet.members import Health, hash64
from linnetwood.fleet.store import KeyValue, StoredValue
from linnetwood.gen.schema.ttypes import Configuration, Deployment
from linnetwood.gen.wire.ttypes import (
    ConfigReply,
    ConfigRequest,
    Member,
)
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import SILENCE_TIMEOUT_S, Dialler
from linnetwood.wire.frames import FrameKind

WATCHERS_PER_REGION = 2
_BACKOFF_FIRST_S = 1.0
_BACKOFF_MAX_S = 60.0
_BACKOFF_MIN_SHARE = 0.25
_IDLE_S = 2.0
_ZONE_SILENT_S = 12.0


def choose_watchers(
    members: list[Member],
    region: str,
    cut_off: list[str],
    count: int = WATCHERS_PER_REGION,
) -> list[str]:
    """Choose the VMs of a region that watch the key-value service.

    Zones in `cut_off`, which are silent here, are left out, so that a zone that
    is cut off finds watchers among its own members. Processes whose views
    differ choose more watchers than needed, which only costs extra calls.
    """
    candidates = [
        member.vm
        for member in members
        if member.region == region
        and member.status == Health.ALIVE
        and member.availability_zone not in cut_off
    ]
    return sorted(candidates, key=lambda vm: hash64(f'watch|{vm}'))[:count]


class ConfigTask(Listener):
    """Hold the configuration in force; its revision never goes back."""

    def __init__(
        self,
        store: KeyValue,
        gossip: GossipTask,
        dialler: Dialler,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start with the empty configuration."""
        self.current = configuration.empty()
        self.encoded = b''
        self.is_loaded = False
        self.store_reachable = False
        self._store = store
        self._gossip = gossip
        self._dialler = dialler
        self._clock = clock
        self._rng = rng
        self._version = 0
        # Whether the next call reads the service rather than waiting.
        self._must_read = True
        self._listeners: list[Callable[[Configuration], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._fetching_revision = 0

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call a function with each newer configuration from now on."""
        self._listeners.append(listener)

    @property
    def deployment(self) -> Deployment:
        """Return the deployment in force."""
        return self.current.deployment

    async def start(self, wait_s: float) -> None:
        """Begin to follow; each watch of the service takes up to `wait_s`."""
        self._gossip.add_listener(self)
        watch = functools.partial(self._watch, wait_s)
        self._spawn(supervise('ConfigTask', watch))

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def adopt(self, encoded: bytes) -> None:
        """Put an encoded configuration in force unless it is older."""
        self.is_loaded = True
        received = configuration.unpack(encoded)
        if received.revision <= self.current.revision:
            return
        self.current = received
        self.encoded = encoded
        log(Event.CONFIG_ADOPTED, revision=received.revision)
        self._gossip.announce_revision(received.revision)
        for listener in self._listeners:
            listener(received)

    def revision_seen(self, revision: int, source: Address) -> None:
        """Fetch a newer revision from the process that holds it."""
        if revision <= self.current.revision:
            self.is_loaded = True
        if revision > max(self._fetching_revision, self.current.revision):
            self._fetching_revision = revision
            self._spawn(self._fetch(source))

    def is_watcher(self) -> bool:
        """Return whether this process is one of its region's watchers."""
        membership = self._gossip.membership
        chosen = choose_watchers(
            list(membership.view.members.values()),
            membership.own_record.region,
            self._gossip.unreachable_zones(_ZONE_SILENT_S),
        )
        return membership.own_record.vm in chosen

    def reply(self, above: int) -> ConfigReply:
        """Answer a peer; include the configuration if its revision is above."""
        if self.current.revision <= above:
            return ConfigReply(revision=self.current.revision)
        return ConfigReply(
            revision=self.current.revision,
            encoded=self.encoded,
        )

    async def _fetch(self, source: Address) -> None:
        try:
            await self._fetch_from(source)
        except LinnetwoodError as exc:
            log(Event.CONFIG_IGNORED, source=str(source), detail=str(exc))
        finally:
            self._fetching_revision = 0

    async def _fetch_from(self, source: Address) -> None:
        stream = await self._dialler.dial(source)
        request = ConfigRequest(above=self.current.revision)
        try:
            await stream.write(FrameKind.CONFIG_REQUEST, encode(request))
            frame = await stream.read_within(SILENCE_TIMEOUT_S)
        finally:
            stream.close()
        reply = decode(ConfigReply, frame.payload)
        if reply.encoded:
            self.adopt(reply.encoded)

    async def _watch(self, wait_s: float) -> None:
        failures = 0
        while True:
            if not self.is_watcher():
                await asyncio.sleep(_IDLE_S * self._rng.uniform(0.5, 1))
                continue
            try:
                await self._watch_once(wait_s)
                failures = 0
            except StoreError as exc:
                self.store_reachable = False
                self._must_read = True
                failures += 1
                log(Event.CONFIG_STORE_UNREACHABLE, detail=str(exc))
                await asyncio.sleep(backoff_s(failures, self._rng))

    async def _watch_once(self, wait_s: float) -> None:
        key = configuration.CONFIG_KEY
        if self._must_read:
            self._must_read = False
            await self._apply_stored(await self._store.get(key))
            return
        found = await self._store.wait(key, self._version, wait_s)
        if found is None:
            # A service that was restored from a copy counts versions anew, and
            # a wait from a later one ends without any.
            self._must_read = True
        else:
            await self._apply_stored(found)

    async def _apply_stored(self, stored: StoredValue) -> None:
        self.store_reachable = True
        self.is_loaded = True
        self._version = stored.version
        if stored.version:
            self.adopt(stored.payload)
        known = configuration.unpack(stored.payload)
        if known.revision < self.current.revision:
            await self._write_again(stored, known.revision)

    async def _write_again(self, stored: StoredValue, revision: int) -> None:
        """Write what is in force to a service that lost it with a copy.

        Only accepted configurations are in force, and their revisions rise.
        """
        self._must_read = True
        swap = await self._store.swap(
            configuration.CONFIG_KEY, self.encoded, stored.version
        )
        log(
            Event.CONFIG_WRITTEN_AGAIN,
            revision=self.current.revision,
            stored_revision=revision,
            done=swap.done,
        )

    def _spawn(self, work: 'object') -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def backoff_s(failures: int, rng: Random) -> float:
    """Return the jittered pause after a number of failures in a row, in s."""
    return pause_s(
        failures,
        rng,
        _BACKOFF_FIRST_S,
        _BACKOFF_MAX_S,
        _BACKOFF_MIN_SHARE,
    )
