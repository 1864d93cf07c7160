"""The process on an entry VM: linnetwood-entry."""

import asyncio
import sys

from tornado.netutil import bind_sockets

from linnetwood.calls import callers
from linnetwood.calls.admission import Admission
from linnetwood.calls.basehandler import HandlerContext
from linnetwood.calls.callersockets import CallerServer
from linnetwood.calls.dispatch import Dispatcher
from linnetwood.calls.fairness import QueueLimits
from linnetwood.calls.routetable import CallLimits
from linnetwood.calls.routing import POLICIES, Routes
from linnetwood.core.clock import SystemClock
from linnetwood.core.connectionshares import entry_shares
from linnetwood.core.events import Event, log
from linnetwood.core.options import EntryOptions
from linnetwood.core.trust import Credentials
from linnetwood.fleet.gossip import Listener
from linnetwood.fleet.members import ENTRY, accepts_work
from linnetwood.fleet.runtime import Runtime, initial_record, wait_for_stop
from linnetwood.gen.schema.ttypes import Configuration
from linnetwood.gen.wire.ttypes import Member
from linnetwood.programs import daemon
from linnetwood.programs.operators import OperatorCalls, OperatorServer
from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.http import open_simple_client

_DRAIN_CHECK_S = 0.05
# Steps of the loop, with some to spare, from a connection to its call.
_STEPS_TO_READ = 20
_MAX_CLIENTS = 16
# Longer than the pauses between calls of clients that keep connections.
_IDLE_S = 75.0
_CALL_LIMITS = CallLimits(
    body_bytes=callers.MAX_BODY_BYTES, header_s=10, idle_s=_IDLE_S
)


class Entry(Listener):
    """Compose the parts of an entry process."""

    def __init__(self, cfg: EntryOptions) -> None:
        """Build all parts without starting them."""
        self._cfg = cfg
        self.runtime = Runtime(
            cfg.place,
            cfg.platform,
            cfg.gossiping,
            cfg.watching,
            initial_record(cfg.place, ENTRY, SystemClock()),
            open_simple_client(_MAX_CLIENTS),
            Credentials(cfg.trust),
        )
        self.routes = Routes(
            cfg.place.availability_zone,
            POLICIES[cfg.routing](),
            self.runtime.rng,
        )
        self.dispatcher = Dispatcher(
            self.routes,
            self.runtime.dialler,
            self.runtime.clock,
            self.runtime.metrics,
            self.runtime.gossip.probe,
        )
        self.gate = Admission(
            QueueLimits(cfg.queue_limit, cfg.queue_wait_s),
            self.capacity,
            self.runtime.clock,
        )
        self.context = HandlerContext(
            self.dispatcher,
            self.routes,
            self.gate,
            self.runtime.clock,
            self.runtime.metrics,
            cfg.call_timeout_s,
            self.runtime.traces,
        )
        self._http = CallerServer(
            callers.application(self.context, self),
            max_body_size=callers.MAX_BODY_BYTES,
        )
        shares = entry_shares()
        self._http.call_limits = _CALL_LIMITS
        self._http.limit = ConnectionLimit(
            'callers', shares.callers, self.runtime.metrics
        )
        self._operators = OperatorServer(
            OperatorCalls(self.runtime),
            self.runtime.keys.server,
        )

    async def start(self) -> None:
        """Join the fleet and start to serve callers and operators."""
        self.runtime.gossip.add_listener(self)
        self.runtime.config.add_listener(self.configured)
        await self.runtime.start(self._cfg.peers, {})
        host = self._cfg.place.host
        self._operators.add_sockets(
            bind_sockets(self._cfg.operators_port, host),
        )
        self._http.add_sockets(bind_sockets(self._cfg.http_port, host))

    async def close(self) -> None:
        """Report as not ready, wait for calls in progress, and leave."""
        self.context.leaving = True
        self.runtime.leave()
        await self._wait_for_calls()
        self._http.stop()
        await self._http.close_all_connections()
        self._operators.stop()
        await self.runtime.close()

    def reason(self) -> str:
        """Return why the entry is not ready, or an empty text."""
        if self.context.leaving:
            return 'leaving'
        if not self.runtime.config.is_loaded:
            return 'no configuration learned yet'
        return ''

    def configured(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.routes.apply_config(configuration.deployment)
        self.gate.configured(configuration.deployment)
        self.context.deployment = configuration.deployment

    def capacity(self, target: str) -> int:
        """Return this entry's share of the slots that serve a target."""
        return -(-self.routes.slots(target) // self._entries())

    def member_changed(self, member: Member) -> None:
        """Update the routes with a member's newest record."""
        self.routes.member_changed(member)
        if member.role == ENTRY:
            self.routes.entry_count = self._entries()

    def load_reported(self, vm: str, load: int) -> None:
        """Record the newest load of an endpoint."""
        self.routes.load(vm).record_report(load, self.runtime.clock.now())

    def _entries(self) -> int:
        """Count the entries that share the endpoints, at least this one."""
        members = self.runtime.gossip.members.values()
        found = sum(
            1 for one in members if one.role == ENTRY and accepts_work(one)
        )
        return max(1, found)

    async def _wait_for_calls(self) -> None:
        until = self.runtime.clock.now() + self._cfg.drain_limit_s
        was_active = True
        # A request that has arrived by one check is read by the next.
        while was_active or self.context.active_calls:
            was_active = bool(self.context.active_calls)
            if was_active and self.runtime.clock.now() > until:
                log(
                    Event.STOP_LIMIT_REACHED,
                    in_flight=self.context.active_calls,
                )
                return
            await asyncio.sleep(_DRAIN_CHECK_S)
            # On a slow machine the pause may be one step of the loop.
            for _ in range(_STEPS_TO_READ):
                await asyncio.sleep(0)


async def serve(cfg: EntryOptions) -> None:
    """Serve callers and operators on an entry VM."""
    entry = Entry(cfg)
    await entry.start()
    await wait_for_stop(entry.runtime.keys)
    log(Event.STOPPING)
    await entry.close()


def main() -> None:
    """Run the command line."""
    sys.exit(daemon.run('linnetwood-entry', EntryOptions, serve))


if __name__ == '__main__':
    main()
