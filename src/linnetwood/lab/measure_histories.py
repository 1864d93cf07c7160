"""Record many seeded histories and check every promise."""

import json
import sys
import time
from collections import Counter

from linnetwood.core.outcomes import Outcome
from linnetwood.lab import checking, virtual
from linnetwood.lab.histories import Shape, counts, one

_SHOWN = 5


def histories(*, count: int = 2000, seed: int = 1, calls: int = 30) -> int:
    """Record seeded histories of real calls under faults and check them.

    :param count: how many histories
    :param seed: seed of the first; each next has the next seed
    :param calls: calls in a history
    """
    began = time.monotonic()
    ends: Counter[Outcome | None] = Counter()
    found: list[str] = []
    for number in range(seed, seed + count):
        history = virtual.run(one(number, Shape(calls=calls)))
        ends.update(counts(history))
        found += [
            f'seed {number}: {text}' for text in checking.violations(history)
        ]
    json.dump(
        {
            'histories': count,
            'calls': sum(ends.values()),
            'answered': ends[Outcome.ANSWERED],
            'not_run': ends[Outcome.NOT_RUN],
            'unknown': ends[Outcome.UNKNOWN],
            'violations': len(found),
            'first': found[:_SHOWN],
            'seconds': round(time.monotonic() - began, 1),
        },
        sys.stdout,
    )
    sys.stdout.write('\n')
    return 1 if found else 0
