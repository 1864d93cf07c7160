"""The process on an endpoint VM: linnetwood-endpoint."""

import asyncio
import sys

from linnetwood.calls.backend import Backend, EngineBackend, ServiceBackend
from linnetwood.calls.guard import Guard, GuardState
from linnetwood.calls.keys import KeyMemory
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event, log
from linnetwood.core.options import EndpointOptions
from linnetwood.core.owner import supervise
from linnetwood.core.trust import Credentials
from linnetwood.fleet.gossip import Listener
from linnetwood.fleet.members import ENDPOINT, Health, copy
from linnetwood.fleet.placement import ENGINE_KIND
from linnetwood.fleet.runtime import Runtime, initial_record, wait_for_stop
from linnetwood.gen.wire.ttypes import DrainOrder, Member, TransferProgress
from linnetwood.programs import daemon
from linnetwood.weights.agent import WeightsAgent
from linnetwood.weights.chunks import ChunkStore
from linnetwood.weights.exchange import Fetcher, TransferCounters, Uploads
from linnetwood.weights.orders import HttpOrderClient
from linnetwood.weights.origin import HttpWeightStore
from linnetwood.weights.transfer import Tools
from linnetwood.wire import codec
from linnetwood.wire.frames import Frame, FrameKind, FrameStream
from linnetwood.wire.http import open_answer_client, open_client
from linnetwood.wire.links import Link, SimulatedLink, UnlimitedLink

_ORIGIN_TIMEOUT_S = 120.0
_EPOCH_CHECK_S = 1.0
_MAX_CALLS = 256
_MAX_OTHER_REQUESTS = 64


class Endpoint(Listener):
    """Compose the parts of an endpoint process."""

    def __init__(self, cfg: EndpointOptions) -> None:
        """Build all parts without starting them."""
        self._cfg = cfg
        self.runtime = Runtime(
            cfg.place,
            cfg.platform,
            cfg.gossiping,
            cfg.watching,
            _initial_member(cfg),
            open_client(_MAX_OTHER_REQUESTS),
            Credentials(cfg.trust),
        )
        self._answers = open_answer_client(_MAX_CALLS)
        self.counters = TransferCounters()
        self.guard = self._build_guard()
        self.runtime.gossip.load = self.guard.load
        self._link = self._build_link()
        self._uploads = Uploads(
            ChunkStore(),
            self._link,
            self.counters,
            cfg.transfer.upload_queue,
        )
        self.agent: WeightsAgent | None = None
        if cfg.backend.kind == ENGINE_KIND:
            self.agent = self._build_agent()
        self._epochs: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the fleet and start to serve."""
        await self.runtime.start(
            self._cfg.peers,
            {
                FrameKind.START: self.guard.serve,
                FrameKind.CHUNK_REQUEST: self._uploads.serve,
                FrameKind.DRAIN: self._serve_drain,
                FrameKind.PROGRESS_REQUEST: self._serve_progress,
            },
        )
        self.runtime.gossip.add_listener(self)
        if self.agent is not None:
            self.runtime.config.add_listener(self.agent.apply_config)
            self.agent.start()
        self._epochs = asyncio.create_task(
            supervise('Endpoint', self._advance_epochs)
        )

    async def close(self) -> None:
        """Refuse new calls, wait for calls in progress, and leave the fleet."""
        self.drain()
        if not await self.guard.drained(self._cfg.drain_limit_s):
            log(Event.STOP_LIMIT_REACHED, in_flight=self.guard.state.in_flight)
        if self._epochs is not None:
            self._epochs.cancel()
        if self.agent is not None:
            await self.agent.close()
        await self.runtime.close()
        self._answers.close()

    def drain(self) -> None:
        """Accept no new calls from now on."""
        if self.guard.state.leaving:
            return
        self.guard.state.leaving = True
        log(Event.DRAINING, in_flight=self.guard.state.in_flight)
        self.runtime.leave()

    def member_changed(self, member: Member) -> None:
        """Drain if other processes report that this VM is leaving."""
        if member.vm == self._cfg.place.vm and member.status == Health.LEAVING:
            self.drain()

    def _build_guard(self) -> Guard:
        backend = self._cfg.backend
        state = GuardState(backend.kind, backend.name, backend.slots)
        memory = KeyMemory(
            self._cfg.place.vm,
            self.runtime.gossip.own_record.incarnation,
            self._cfg.key_epoch_s,
            self._cfg.keys_remembered,
            self.runtime.clock.now(),
        )
        self._memory = memory
        return Guard(state, self._build_backend(), memory, self.runtime.traces)

    def _build_backend(self) -> Backend:
        backend = self._cfg.backend
        if backend.kind == ENGINE_KIND:
            return EngineBackend(backend.url, self._answers)
        return ServiceBackend(backend.url, self._answers)

    def _build_link(self) -> Link:
        rate = self._cfg.transfer.link_bytes_per_s
        return (
            SimulatedLink(rate, self.runtime.clock) if rate else UnlimitedLink()
        )

    def _build_agent(self) -> WeightsAgent:
        cfg = self._cfg
        tools = Tools(
            me=cfg.place.vm,
            store=self._uploads.store,
            fetcher=Fetcher(cfg.place.vm, self.runtime.dialler, self._link),
            uploads=self._uploads,
            origin=HttpWeightStore(
                cfg.transfer.origin_url,
                _ORIGIN_TIMEOUT_S,
                self.runtime.client,
            ),
            link=self._link,
            clock=self.runtime.clock,
            rng=self.runtime.rng,
            counters=self.counters,
            metrics=self.runtime.metrics,
            cfg=cfg.transfer,
        )
        orders = HttpOrderClient(cfg.backend.url, self.runtime.client)
        return WeightsAgent(tools, self.runtime.gossip, orders, self.guard)

    async def _serve_drain(self, stream: FrameStream, frame: Frame) -> None:
        codec.decode(DrainOrder, frame.payload)
        self.drain()
        await stream.write(FrameKind.DONE, b'')

    async def _serve_progress(self, stream: FrameStream, frame: Frame) -> None:
        progress = TransferProgress(wanted='', held=0, total=0)
        if self.agent is not None:
            progress = self.agent.progress()
        await stream.write(FrameKind.PROGRESS_REPLY, codec.encode(progress))

    async def _advance_epochs(self) -> None:
        while True:
            await asyncio.sleep(_EPOCH_CHECK_S)
            if self._memory.advance(self.runtime.clock.now()):
                log(Event.KEYS_FORGOTTEN, epoch=self._memory.epoch)
                self.runtime.gossip.update_self(key_epoch=self._memory.epoch)


def _initial_member(cfg: EndpointOptions) -> Member:
    member = initial_record(cfg.place, ENDPOINT, SystemClock())
    return copy(
        member,
        kind=ENGINE_KIND
        if cfg.backend.kind == ENGINE_KIND
        else cfg.backend.name,
        key_epoch=1,
        slots=cfg.backend.slots,
    )


async def serve(cfg: EndpointOptions) -> None:
    """Transfer weights, control the VM's engine, and admit its calls."""
    endpoint = Endpoint(cfg)
    await endpoint.start()
    await wait_for_stop(endpoint.runtime.keys)
    log(Event.STOPPING)
    await endpoint.close()


def main() -> None:
    """Run the command line."""
    sys.exit(daemon.run('linnetwood-endpoint', EndpointOptions, serve))


if __name__ == '__main__':
    main()
