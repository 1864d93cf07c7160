"""Run a program on the users' platform."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence

from linnetwood.core import loops
from linnetwood.core import settings as settings_files
from linnetwood.core.errors import LinnetwoodError, SettingsError
from linnetwood.core.events import Event, log, open_log
from linnetwood.core.memory import tune_garbage_collector
from linnetwood.core.options import Decisions
from linnetwood.platform import settings
from linnetwood.programs.exits import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS

Serve = Callable[[settings.ProcessSettings, Decisions], Awaitable[None]]


def run(program: str, serve: Serve, argv: Sequence[str]) -> int:
    """Read the settings and serve until stopped.

    The platform provides its settings file; `argv` may name a file with the
    product's own settings.
    """
    try:
        cfg = settings.load()
        decisions = read_decisions(argv)
    except LinnetwoodError as exc:
        sys.stderr.write(f'{program}: {exc}\n')
        return EXIT_SETTINGS
    open_log('info', cfg.vm)
    tune_garbage_collector()
    log(Event.STARTED, program=program, zone=cfg.zone)
    try:
        loops.run(_serve(serve, cfg, decisions))
    except (LinnetwoodError, OSError) as exc:
        sys.stderr.write(f'{program}: {exc}\n')
        return EXIT_FAILED
    log(Event.STOPPED, program=program)
    return EXIT_OK


def run_and_exit(program: str, serve: Serve) -> None:
    """Run with the arguments of the command line, and exit with the result."""
    sys.exit(run(program, serve, sys.argv[1:]))


async def until_stopped() -> None:
    """Wait for a signal to stop; on SIGHUP validate the settings again."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _recheck_settings)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await stop.wait()
    log(Event.STOPPING)


def read_decisions(argv: Sequence[str]) -> Decisions:
    """Read the named file, if any; raise SettingsError if it is invalid."""
    if not argv:
        return Decisions()
    if len(argv) > 1:
        raise SettingsError(
            'settings-too-many',
            f'found {len(argv)} files, allowed is one',
        )
    return settings_files.load(Decisions, argv[0])


async def _serve(
    serve: Serve,
    cfg: settings.ProcessSettings,
    decisions: Decisions,
) -> None:
    await serve(cfg, decisions)


def _recheck_settings() -> None:
    try:
        settings.load()
    except LinnetwoodError as exc:
        log(Event.SETTINGS_REFUSED, code=exc.code, detail=exc.detail)
        return
    log(Event.SETTINGS_RELOADED)
