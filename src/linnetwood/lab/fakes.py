"""Run stand-ins for outside systems: linnetwood-fakes."""

import asyncio
import dataclasses
import signal
from collections.abc import Callable
from functools import partial

import defopt
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from linnetwood.core.sizes import GIB
from linnetwood.lab import fakeengine, fakekv, fakeorigin, fakeservice, fakevms

_MAX_BODY_BYTES = GIB


def serve(  # noqa: WPS211
    *,
    kv: int = 0,
    vms: int = 0,
    origin: int = 0,
    origin_bytes_per_s: float = 1.0e9,
    origin_corrupt: float = 0,
    engine: list[int] | None = None,
    service: list[int] | None = None,
    checks_fences: bool = True,
    first_token_s: float = 0.02,
    token_s: float = 0.005,
    slots: int = 8,
    seed: int = 0,
) -> None:
    """Serve the stand-ins whose ports are given, until a signal to stop.

    :param kv: port of the key-value service
    :param vms: port of the list of VMs
    :param origin: port of the weight store
    :param origin_bytes_per_s: rate of the weight store's link
    :param origin_corrupt: share of chunks sent with a wrong byte
    :param engine: ports of model engines
    :param service: ports of plain services
    :param checks_fences: whether the engines refuse orders with a stale fence
    :param first_token_s: seconds to the first token
    :param token_s: seconds between tokens
    :param slots: calls that an engine runs at the same time
    :param seed: seed of the faults
    """
    engines = fakeengine.EngineState(
        first_token_s,
        token_s,
        slots,
        checks_fences,
    )
    store = (origin_bytes_per_s, origin_corrupt, seed)
    applications: dict[int, Callable[[], Application]] = {
        **{port: partial(_engine, engines) for port in engine or ()},
        **{port: _service for port in service or ()},
        kv: _key_value,
        vms: fakevms.application,
        origin: partial(_origin, store),
    }
    applications.pop(0, None)
    asyncio.run(_serve(applications))


def _engine(state: fakeengine.EngineState) -> Application:
    new_state = dataclasses.replace(
        state,
        staged={},
        cancelled=set(),
        runs={},
        violations=[],
        traceparents=[],
    )
    return fakeengine.application(new_state)


def _service() -> Application:
    return fakeservice.application(fakeservice.ServiceState())


def _key_value() -> Application:
    return fakekv.application(fakekv.KvState())


def _origin(store: tuple[float, float, int]) -> Application:
    return fakeorigin.application(fakeorigin.OriginState(*store))


async def _serve(applications: dict[int, Callable[[], Application]]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    servers = []
    for port, build in applications.items():
        server = HTTPServer(build(), max_buffer_size=_MAX_BODY_BYTES)
        server.add_sockets(bind_sockets(port, '127.0.0.1'))
        servers.append(server)
    await stop.wait()
    for server in servers:
        server.stop()


def main() -> None:
    """Run the command line."""
    defopt.run(serve, cli_options='has_default')


if __name__ == '__main__':
    main()
