"""Print when the event loop of a stand-in did not run, as lines of JSON.

What a stand-in records is late by that time, whatever the programs did.
"""

import asyncio
import json
import sys
import time

_CHECK_INTERVAL_S = 0.05
# Shorter delays are within the slack of all checks.
_MIN_STALL_S = 0.3
MARK = '{"stall"'


async def print_stalls() -> None:
    """Print each stall until cancelled."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(_CHECK_INTERVAL_S)
        now = time.monotonic()
        if now - before > _MIN_STALL_S:
            sys.stdout.write(f'{json.dumps({"stall": (before, now)})}\n')
            sys.stdout.flush()
