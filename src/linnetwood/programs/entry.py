"""The process on an entry VM: linnetwood-entry."""

import asyncio
import sys

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from linnetwood.calls import callers
from linnetwood.calls.admission import Admission
from linnetwood.calls.dispatch import Dispatcher
from linnetwood.calls.fairness import Bounds
from linnetwood.calls.routing import POLICIES, Routes
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event, log
from linnetwood.core.options import EntryOptions
from linnetwood.core.trust import Keys
from linnetwood.fleet.gossip import Listener
from linnetwood.fleet.members import ENTRY, usable
from linnetwood.fleet.node import Node, introduce, until_told
from linnetwood.gen.schema.ttypes import Configuration
from linnetwood.gen.wire.ttypes import Member
from linnetwood.programs import daemon
from linnetwood.programs.operators import OperatorCalls, OperatorServer
from linnetwood.wire.http import open_small_client

_DRAIN_CHECK_S = 0.05
_MAX_CLIENTS = 16


class Entry(Listener):
    """Put the parts of an entry together."""

    def __init__(self, cfg: EntryOptions) -> None:
        """Build; start nothing."""
        self._cfg = cfg
        self.node = Node(
            cfg.place,
            cfg.platform,
            cfg.gossiping,
            cfg.watching,
            introduce(cfg.place, ENTRY, SystemClock()),
            open_small_client(_MAX_CLIENTS),
            Keys(cfg.trust),
        )
        self.routes = Routes(
            cfg.place.availability_zone,
            POLICIES[cfg.routing](),
            self.node.rng,
        )
        self.dispatcher = Dispatcher(
            self.routes,
            self.node.dialler,
            self.node.clock,
            self.node.metrics,
            self.node.gossip.probe,
        )
        self.gate = Admission(
            Bounds(cfg.queue_limit, cfg.queue_wait_s),
            self.capacity,
            self.node.clock,
        )
        self.desk = callers.Desk(
            self.dispatcher,
            self.routes,
            self.gate,
            self.node.clock,
            self.node.metrics,
            cfg.call_timeout_s,
            self.node.traces,
        )
        self._leaving = False
        self._http = HTTPServer(
            callers.application(self.desk, self),
            max_body_size=callers.MAX_BODY,
        )
        self._operators = OperatorServer(
            OperatorCalls(self.node),
            self.node.keys.server,
        )

    async def start(self) -> None:
        """Join the others and begin to serve callers and operators."""
        self.node.gossip.listen(self)
        self.node.config.listen(self.configured)
        await self.node.start(self._cfg.peers, {})
        host = self._cfg.place.host
        self._operators.add_sockets(
            bind_sockets(self._cfg.operators_port, host),
        )
        self._http.add_sockets(bind_sockets(self._cfg.http_port, host))

    async def close(self) -> None:
        """Send callers elsewhere, finish what is under way, then leave."""
        self._leaving = True
        self.node.leave()
        await self._drained()
        self._http.stop()
        await self._http.close_all_connections()
        self._operators.stop()
        await self.node.close()

    def reason(self) -> str:
        """Say why the balancer should send calls elsewhere."""
        if self._leaving:
            return 'leaving'
        if not self.node.config.learned:
            return 'no configuration learned yet'
        return ''

    def configured(self, configuration: Configuration) -> None:
        """Put a newer configuration in force."""
        self.routes.apply_config(configuration.deployment)
        self.gate.configured(configuration.deployment)
        self.desk.deployment = configuration.deployment

    def capacity(self, target: str) -> int:
        """Give this entry's part of the slots that serve a target."""
        return -(-self.routes.slots(target) // self._entries())

    def member_changed(self, member: Member) -> None:
        """Route by the newest statement."""
        self.routes.member_changed(member)
        if member.role == ENTRY:
            self.routes.entry_count = self._entries()

    def load_heard(self, vm: str, load: int) -> None:
        """Choose by the newest word of an endpoint's load."""
        self.routes.load(vm).record_report(load, self.node.clock.now())

    def _entries(self) -> int:
        """Count the entries that share the endpoints, at least this one."""
        members = self.node.gossip.members.values()
        found = sum(1 for one in members if one.role == ENTRY and usable(one))
        return max(1, found)

    async def _drained(self) -> None:
        until = self.node.clock.now() + self._cfg.drain_limit_s
        while self.gate.under_way:
            if self.node.clock.now() > until:
                log(Event.STOP_LIMIT_REACHED, in_flight=self.gate.under_way)
                return
            await asyncio.sleep(_DRAIN_CHECK_S)


async def serve(cfg: EntryOptions) -> None:
    """Answer callers and operators on an entry VM."""
    entry = Entry(cfg)
    await entry.start()
    await until_told(entry.node.keys)
    log(Event.STOPPING)
    await entry.close()


def main() -> None:
    """Run the command line."""
    sys.exit(daemon.run('linnetwood-entry', EntryOptions, serve))


if __name__ == '__main__':
    main()
