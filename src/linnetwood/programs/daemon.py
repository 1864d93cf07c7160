"""Start a daemon from its command line and settings file."""

import argparse
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from linnetwood.core import loops, settings
from linnetwood.core.errors import LinnetwoodError
from linnetwood.core.events import Event, log, open_log
from linnetwood.core.memory import tune_garbage_collector
from linnetwood.core.trust import Credentials
from linnetwood.programs.exits import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS

_Options = TypeVar('_Options')


def run(
    name: str,
    options: type[_Options],
    serve: Callable[[Any], Awaitable[None]],
) -> int:
    """Validate the settings, serve until stopped, and return an exit code."""
    parser = argparse.ArgumentParser(prog=name, description=serve.__doc__)
    parser.add_argument('--settings', required=True, help='YAML settings file')
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='check the settings file and stop',
    )
    args = parser.parse_args()
    try:
        cfg: Any = settings.load(options, args.settings)
        Credentials(cfg.trust)
    except LinnetwoodError as exc:
        sys.stderr.write(f'{name}: {exc}\n')
        log(Event.SETTINGS_REFUSED, code=exc.code)
        return EXIT_SETTINGS
    if args.check_settings:
        sys.stdout.write(f'{args.settings}: settings are good\n')
        return EXIT_OK
    open_log(cfg.watching.log_level, cfg.place.vm)
    return _serve(name, cfg, serve)


def _serve(
    name: str,
    cfg: Any,
    serve: Callable[[Any], Awaitable[None]],
) -> int:
    tune_garbage_collector()
    log(Event.STARTED, program=name)
    try:
        loops.run(_as_coroutine(serve(cfg)))
    except (LinnetwoodError, OSError) as exc:
        sys.stderr.write(f'{name}: {exc}\n')
        return EXIT_FAILED
    log(Event.STOPPED, program=name)
    return EXIT_OK


async def _as_coroutine(work: Awaitable[None]) -> None:
    await work
