"""Exchange member records and configuration revisions over UDP."""

import asyncio
import enum
import functools
import struct
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any

from linnetwood.core.clock import Clock
from linnetwood.core.errors import CodecError
from linnetwood.core.events import Event, log
from linnetwood.core.options import GossipOptions
from linnetwood.core.owner import supervise
from linnetwood.core.trust import DatagramSigner, NoSigning
from linnetwood.fleet.members import Health
from linnetwood.fleet.membership import BUCKETS, Membership, sample_members
from linnetwood.gen.wire.ttypes import Gossip, HeldNotice, Member
from linnetwood.wire.codec import decode, encode

_BATCH_BYTES = 1200
_BATCH_DELAY_S = 0.03
_TICK_EVERY_S = 0.2
_JOIN_EVERY_S = 0.3
_PEER_SYNCS_PER_ROUND = 4
_NO_LOAD = -1
_PENDING_LIMIT = 4096
_JITTER_LOW = 0.9
# IPv4 and UDP headers are counted as control traffic, too.
_HEADER_BYTES = 28
_DIGESTS = struct.Struct(f'>{BUCKETS}I')
Address = tuple[str, int]


class GossipKind(enum.IntEnum):
    """What a datagram is for; the numbers are sent."""

    HEARTBEAT = 1
    PING = 2
    ACK = 3
    UPDATE = 4
    SYNC = 5
    SYNC_REPLY = 6
    HELD_CHUNKS = 7


# Replies whose revision is passed on even if it is no newer than the own one:
# they show how new the sender's configuration is.
_REVISION_ANSWERS = frozenset((GossipKind.ACK, GossipKind.SYNC_REPLY))


class Listener:
    """Receive what gossip learns; each method does nothing by default."""

    def member_changed(self, member: Member) -> None:
        """Apply a newer record of a member."""

    def revision_seen(self, revision: int, source: Address) -> None:
        """Note that the process at an address holds a revision."""

    def chunks_reported(self, notice: HeldNotice) -> None:
        """Note which chunks a peer holds."""

    def load_reported(self, vm: str, load: int) -> None:
        """Note how many calls an endpoint has in flight now."""


class GossipTask(asyncio.DatagramProtocol):
    """Run the membership protocol over one UDP socket."""

    def __init__(
        self,
        membership: Membership,
        cfg: GossipOptions,
        clock: Clock,
        rng: Random,
        signer: DatagramSigner | None = None,
    ) -> None:
        """Prepare the protocol; `start` opens the socket."""
        self._signer: DatagramSigner = signer or NoSigning()
        self.membership = membership
        self.revision = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.zone_heard_at: dict[str, float] = {}
        self.load: Callable[[], int] = _no_load
        self._listeners: list[Listener] = []
        self._peers: tuple[str, ...] = ()
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._pending: dict[str, Member] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def own_record(self) -> Member:
        """Return the record of this process."""
        return self.membership.own_record

    @property
    def members(self) -> dict[str, Member]:
        """Return the newest record of each process, by VM."""
        return self.membership.view.members

    def add_listener(self, listener: Listener) -> None:
        """Call a listener for all that gossip learns from now on."""
        self._listeners.append(listener)

    async def start(self, host: str, port: int, peers: Iterable[str]) -> None:
        """Bind the socket, sync with the peers and start the timers.

        Peers are `host:port` addresses from the settings.
        """
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, port),
        )
        self._transport = opened[0]
        self._peers = tuple(peers)
        self.sync_with(self._peers)
        timers = (
            (_TICK_EVERY_S, self._tick),
            (_JOIN_EVERY_S, self._retry_join),
            (self._cfg.heartbeat_s, self._send_heartbeats),
            (self._cfg.sync_every_s, self._sync_own_zone),
            (self._cfg.far_sync_every_s, self._sync_other_zones),
        )
        self._tasks = [
            asyncio.create_task(
                supervise(
                    'Gossip',
                    functools.partial(self._run_every, period_s, action),
                )
            )
            for period_s, action in timers
        ]

    def sync_with(self, peers: Iterable[str]) -> None:
        """Request the views of processes known only by their address."""
        for peer in peers:
            host, _, port = peer.rpartition(':')
            self._send_sync((host, int(port)), GossipKind.SYNC)

    async def close(self) -> None:
        """Send what is pending, stop the timers and close the socket."""
        self._send_pending()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()

    def update_self(self, **changes: object) -> None:
        """Change fields of the record of this process and disseminate it."""
        self.disseminate(self.membership.update_self(**changes))

    def receive_record(self, member: Member) -> None:
        """Apply a record; disseminate it and call listeners if it is new."""
        record = self.membership.receive(member, self._clock.now())
        if record is None:
            return
        self.disseminate(record)
        if record.status >= Health.SUSPECT:
            log(Event.MEMBER_DOUBTED, vm=record.vm, status=record.status)
        for listener in self._listeners:
            listener.member_changed(record)

    def disseminate(self, member: Member) -> None:
        """Queue a record for the next batch; drop it if the queue is full."""
        if len(self._pending) >= _PENDING_LIMIT:
            log(Event.GOSSIP_BACKLOG, limit=_PENDING_LIMIT)
            return
        self._pending[member.vm] = member
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(
                _BATCH_DELAY_S, self._send_pending
            )

    def probe(self, member: Member) -> None:
        """Ask a process how many calls it has in flight."""
        self._send(member, self._new_gossip(GossipKind.PING))

    def announce_revision(self, revision: int) -> None:
        """Tell some processes at once that this one holds a revision."""
        self.revision = revision
        for member in self._pick_recipients():
            self._send(member, self._new_gossip(GossipKind.UPDATE))

    def send_held_chunks(
        self, members: list[Member], notice: HeldNotice
    ) -> None:
        """Tell members which chunks this VM holds."""
        gossip = self._new_gossip(GossipKind.HELD_CHUNKS)
        gossip.notices = [notice]
        for member in members:
            self._send(member, gossip)

    def unreachable_zones(self, older_than_s: float) -> list[str]:
        """Return the other availability zones silent for that many seconds.

        The silence of a zone counts from the first query about it, or later.
        """
        own_zone = self.membership.own_record.availability_zone
        now = self._clock.now()
        zones = {
            member.availability_zone
            for member in self.membership.view.members.values()
        }
        return sorted(
            zone
            for zone in zones - {own_zone}
            if now - self.zone_heard_at.setdefault(zone, now) > older_than_s
        )

    def datagram_received(self, received: bytes, addr: Any) -> None:
        """Handle one datagram; drop it if signature or content is bad."""
        self.received_bytes += len(received) + _HEADER_BYTES
        payload = self._signer.verify(received)
        if payload is None:
            log(Event.DATAGRAM_DROPPED, code='bad-seal', source=str(addr))
            return
        try:
            gossip = decode(Gossip, payload)
        except CodecError as exc:
            log(Event.DATAGRAM_DROPPED, code=exc.code, source=str(addr))
            return
        self._handle(gossip, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer: missing heartbeats show the same."""

    def _handle(self, gossip: Gossip, source: Address) -> None:
        now = self._clock.now()
        self.membership.heartbeat_received(gossip.sender, now)
        sender = self.membership.view.members.get(gossip.sender)
        if sender is not None:
            self.zone_heard_at[sender.availability_zone] = now
        for member in gossip.members:
            self.receive_record(member)
        if gossip.revision > self.revision or gossip.kind in _REVISION_ANSWERS:
            for listener in self._listeners:
                listener.revision_seen(gossip.revision, source)
        if gossip.load != _NO_LOAD:
            for listener in self._listeners:
                listener.load_reported(gossip.sender, gossip.load)
        for notice in gossip.notices:
            for listener in self._listeners:
                listener.chunks_reported(notice)
        self._respond(gossip, source)

    def _respond(self, gossip: Gossip, source: Address) -> None:
        if gossip.kind == GossipKind.PING:
            ack = self._new_gossip(GossipKind.ACK)
            ack.load = self.load()
            self._send_to(source, ack)
        elif gossip.kind == GossipKind.SYNC:
            self._handle_sync(gossip, source)
        elif gossip.kind == GossipKind.SYNC_REPLY:
            self._send_differing(gossip, source)

    def _handle_sync(self, gossip: Gossip, source: Address) -> None:
        own_digests = _DIGESTS.pack(*self.membership.view.buckets)
        if gossip.digests == own_digests:
            # The views are equal, so no records and no digests are needed.
            self._send_to(source, self._new_gossip(GossipKind.ACK))
            return
        self._send_differing(gossip, source)
        self._send_sync(source, GossipKind.SYNC_REPLY)

    def _tick(self) -> None:
        now = self._clock.now()
        for record in self.membership.tick(now):
            log(Event.MEMBER_DOUBTED, vm=record.vm, status=record.status)
            self.disseminate(record)
            for listener in self._listeners:
                listener.member_changed(record)
        for member in self.membership.silent_members(now):
            self._send(member, self._new_gossip(GossipKind.PING))

    def _retry_join(self) -> None:
        if len(self.membership.view.members) == 1:
            self.sync_with(self._peers)

    def _send_heartbeats(self) -> None:
        beat = self._new_gossip(GossipKind.HEARTBEAT)
        for vm in self.membership.ring_neighbours(
            self._clock.now()
        ).heartbeat_to:
            self._send(self.membership.view.members[vm], beat)

    def _sync_own_zone(self) -> None:
        for member in sample_members(
            self.membership.view.same_zone(), 1, self._rng
        ):
            self._send_sync((member.host, member.port), GossipKind.SYNC)

    def _sync_other_zones(self) -> None:
        # Syncing with a peer from the settings merges views that never met or
        # that split. All processes together do it about as often as 4 alone
        # would; otherwise the load on these peers would grow with the fleet.
        known_count = len(self.membership.view.members)
        if (
            self._peers
            and self._rng.random() < _PEER_SYNCS_PER_ROUND / known_count
        ):
            self.sync_with((self._rng.choice(self._peers),))
        for member in sample_members(
            self.membership.view.other_zones(), 1, self._rng
        ):
            self._send_sync((member.host, member.port), GossipKind.SYNC)

    def _send_sync(self, address: Address, kind: GossipKind) -> None:
        gossip = self._new_gossip(kind)
        gossip.digests = _DIGESTS.pack(*self.membership.view.buckets)
        gossip.members = [self.membership.own_record]
        self._send_to(address, gossip)

    def _send_differing(self, gossip: Gossip, source: Address) -> None:
        if len(gossip.digests) != _DIGESTS.size:
            return
        peer_buckets = _DIGESTS.unpack(gossip.digests)
        differing = self.membership.view.differing_records(peer_buckets)
        for batch in _batches(differing):
            self._send_to(source, self._new_gossip(GossipKind.UPDATE, batch))

    def _send_pending(self) -> None:
        self._flush_timer = None
        records = list(self._pending.values())
        self._pending.clear()
        recipients = self._pick_recipients()
        for batch in _batches(records):
            for member in recipients:
                self._send(member, self._new_gossip(GossipKind.UPDATE, batch))

    def _pick_recipients(self) -> list[Member]:
        view = self.membership.view
        own_zone = view.same_zone()
        recipients = sample_members(own_zone, self._cfg.fanout, self._rng)
        # A zone sends to other zones at about the same rate, however many
        # members it has.
        probability = self._cfg.fanout / (1 + len(own_zone))
        if self._rng.random() < probability:
            recipients += _one_of_each_zone(view.other_zones(), self._rng)
        return recipients

    def _new_gossip(
        self,
        kind: GossipKind,
        members: list[Member] | None = None,
    ) -> Gossip:
        own_record = self.membership.own_record
        return Gossip(
            sender=own_record.vm,
            incarnation=own_record.incarnation,
            kind=kind,
            revision=self.revision,
            members=members or [],
        )

    def _send(self, member: Member, gossip: Gossip) -> None:
        self._send_to((member.host, member.port), gossip)

    def _send_to(self, address: Address, gossip: Gossip) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        datagram = self._signer.sign(encode(gossip))
        self.sent_bytes += len(datagram) + _HEADER_BYTES
        self._transport.sendto(datagram, address)

    async def _run_every(
        self, period_s: float, action: Callable[[], None]
    ) -> None:
        while True:
            action()
            await asyncio.sleep(period_s * self._rng.uniform(_JITTER_LOW, 1))


def _no_load() -> int:
    return _NO_LOAD


def _one_of_each_zone(candidates: list[Member], rng: Random) -> list[Member]:
    zones: dict[str, list[Member]] = {}
    for member in candidates:
        zones.setdefault(member.availability_zone, []).append(member)
    return [rng.choice(members) for members in zones.values()]


def _batches(members: Iterable[Member]) -> Iterator[list[Member]]:
    batch: list[Member] = []
    size = 0
    for member in members:
        length = len(encode(member))
        if batch and size + length > _BATCH_BYTES:
            yield batch
            batch = []
            size = 0
        batch.append(member)
        size += length
    if batch:
        yield batch
