"""Describe unexpected errors in log lines, without their text.

The text of an error may hold bytes of a call, and is not bounded.
"""

import asyncio
import contextlib
import traceback
from collections import deque
from collections.abc import Iterator
from pathlib import PurePath
from types import FrameType
from typing import Any

from linnetwood.core.events import Event, log

_MAX_FRAMES = 5
_MAX_CHARS = 120


def failure_fields(exc: BaseException) -> dict[str, object]:
    """Return the error's type, and the innermost places of its traceback."""
    frames = traceback.walk_tb(exc.__traceback__)
    places = deque(
        (_place(frame, line) for frame, line in frames), maxlen=_MAX_FRAMES
    )
    return {
        'error': type(exc).__qualname__[:_MAX_CHARS],
        'places': list(places),
    }


@contextlib.contextmanager
def failures_logged(detail: str) -> Iterator[None]:
    """Log an unexpected error, and go on behind the block that raised it."""
    try:
        yield
    except Exception as exc:
        log_failure(detail, exc)


def log_failure(detail: str, exc: BaseException) -> None:
    """Log an unexpected error with a detail of where it was caught."""
    log(Event.TASK_FAILED, detail=detail[:_MAX_CHARS], **failure_fields(exc))


def log_loop_failure(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an error that no task or callback caught."""
    exc = context.get('exception')
    detail = str(context.get('message', ''))
    if exc is None:
        log(Event.TASK_FAILED, detail=detail[:_MAX_CHARS])
    else:
        log_failure(detail, exc)


def _place(frame: FrameType, line: int) -> str:
    code = frame.f_code
    name = PurePath(code.co_filename).name
    return f'{name}:{line} {code.co_qualname}'[:_MAX_CHARS]
