"""The parts that every daemon has.

These are membership, configuration, connections, metrics and signal handlers.
"""

import asyncio
import signal
from random import Random

from tornado.httpclient import AsyncHTTPClient
from tornado.netutil import bind_sockets

from linnetwood.core.clock import Clock, SystemClock
from linnetwood.core.connectionshares import endpoint_shares
from linnetwood.core.errors import SettingsError
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metrics, open_metrics
from linnetwood.core.options import (
    GossipOptions,
    Observability,
    Place,
    Platform,
)
from linnetwood.core.traces import Tracer, open_traces
from linnetwood.core.trust import Credentials
from linnetwood.fleet.configtask import ConfigTask
from linnetwood.fleet.gossip import GossipTask
from linnetwood.fleet.members import Health
from linnetwood.fleet.membership import Membership
from linnetwood.fleet.store import HttpKeyValue
from linnetwood.fleet.vmlist import HttpVmList, VmListTask
from linnetwood.gen.wire.ttypes import ConfigRequest, Member
from linnetwood.wire import codec
from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.connections import (
    FrameHandler,
    TcpDialler,
    WireLimits,
    WireServer,
)
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

_MILLISECONDS = 1000
# Entries cut off a caller that reads nothing a little earlier.
_FLUSH_S = 5.0
# What connections between processes may hold together: some large frames.
_HELD_BYTES = 67108864


class Runtime:
    """Own the parts that entries and endpoints have in common."""

    def __init__(
        self,
        place: Place,
        platform: Platform,
        gossiping: GossipOptions,
        watching: Observability,
        member: Member,
        client: AsyncHTTPClient,
        keys: Credentials,
    ) -> None:
        """Build the parts; `start` begins their work."""
        self.clock: Clock = SystemClock()
        self.rng = Random(f'{place.vm}|{member.incarnation}')
        self.client = client
        self.keys = keys
        self.dialler = TcpDialler(keys.client)
        self.gossip = GossipTask(
            Membership(member, gossiping, self.clock.now()),
            gossiping,
            self.clock,
            self.rng,
            keys.signer,
        )
        self.store = HttpKeyValue(
            platform.kv_url,
            platform.kv_timeout_s,
            self.client,
        )
        self.config = ConfigTask(
            self.store,
            self.gossip,
            self.dialler,
            self.clock,
            self.rng,
        )
        self.metrics: Metrics = open_metrics(
            watching.statsd_host,
            watching.statsd_port,
        )
        self.traces: Tracer = open_traces(watching.trace_file, place.vm)
        self._vm_list: VmListTask | None = None
        if platform.vm_list_url:
            self._vm_list = VmListTask(
                HttpVmList(platform.vm_list_url, self.client),
                self.gossip,
                self.config.is_watcher,
                self.rng,
            )
        self._place = place
        self._platform = platform
        self._server: WireServer | None = None

    async def start(
        self,
        peers: tuple[str, ...],
        handlers: dict[int, FrameHandler],
    ) -> None:
        """Serve frames, join the fleet and follow the configuration.

        Peers are addresses of other processes; handlers are by frame kind.
        """
        served = {FrameKind.CONFIG_REQUEST: self._serve_config, **handlers}
        shares = endpoint_shares()
        self._server = WireServer(
            served,
            WireLimits(
                ConnectionLimit('processes', shares.processes, self.metrics),
                _HELD_BYTES,
            ),
        )
        # The slot has one port, so binding it keeps out a second process.
        await self._server.start(
            bind_sockets(self._place.wire_port, self._place.host),
            self.keys.server,
        )
        await self.gossip.start(self._place.host, self._place.wire_port, peers)
        await self.config.start(self._platform.watch_wait_s)
        if self._vm_list is not None:
            self._vm_list.start()

    async def close(self) -> None:
        """Stop all parts and close their connections."""
        if self._vm_list is not None:
            await self._vm_list.close()
        await self.config.close()
        await self.gossip.close()
        if self._server is not None:
            await self._server.close(_FLUSH_S)
        self.dialler.close()
        self.client.close()
        self.traces.close()

    def leave(self) -> None:
        """Announce that this process accepts no new work."""
        self.gossip.update_self(status=int(Health.LEAVING))

    async def _serve_config(self, stream: FrameStream, frame: Frame) -> None:
        request = codec.decode(ConfigRequest, frame.payload)
        reply = self.config.reply(request.above)
        await stream.write(FrameKind.CONFIG_REPLY, codec.encode(reply))


def initial_record(place: Place, role: str, clock: Clock) -> Member:
    """Return the first record of this process."""
    return Member(
        vm=place.vm,
        incarnation=int(clock.wall() * _MILLISECONDS),
        version=1,
        role=role,
        availability_zone=place.availability_zone,
        region=place.region,
        rack=place.rack,
        host=place.host,
        port=place.wire_port,
        status=int(Health.ALIVE),
    )


async def wait_for_stop(keys: Credentials) -> None:
    """Wait for SIGTERM or SIGINT; reload the keys on each SIGHUP."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_keys, keys)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await stop.wait()


def reload_keys(keys: Credentials) -> None:
    """Reload the keys; keep the old ones if the new ones are not usable."""
    try:
        keys.reload()
    except SettingsError as exc:
        log(Event.KEYS_REFUSED, code=exc.code, detail=exc.detail)
        return
    log(Event.KEYS_RELOADED)
