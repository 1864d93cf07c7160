"""Describe unexpected errors in log lines, without their text.

The text of an error may hold bytes of a call, and is not bounded.
"""

import asyncio
import traceback
from collections import deque
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


def log_loop_failure(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an error that no task or callback caught."""
    exc = context.get('exception')
    fields = {} if exc is None else failure_fields(exc)
    log(
        Event.TASK_FAILED,
        detail=str(context.get('message', ''))[:_MAX_CHARS],
        **fields,
    )


def _place(frame: FrameType, line: int) -> str:
    code = frame.f_code
    name = PurePath(code.co_filename).name
    return f'{name}:{line} {code.co_qualname}'[:_MAX_CHARS]
