"""Record histories from many seeds, and check every guarantee."""

import json
import sys
import time
from collections import Counter

from linnetwood.core.outcomes import Outcome
from linnetwood.lab import checking, virtual
from linnetwood.lab.histories import (
    HistoryOptions,
    count_outcomes,
    record_history,
)

_MAX_SHOWN = 5


def histories(*, count: int = 2000, seed: int = 1, calls: int = 30) -> int:
    """Record and check histories of real calls under faults.

    :param count: number of histories
    :param seed: seed of the first history; the others count up from it
    :param calls: number of calls in a history
    """
    began = time.monotonic()
    outcomes: Counter[Outcome | None] = Counter()
    violations: list[str] = []
    for number in range(seed, seed + count):
        history = virtual.run(
            record_history(number, HistoryOptions(calls=calls))
        )
        outcomes.update(count_outcomes(history))
        violations += [
            f'seed {number}: {text}'
            for text in checking.find_violations(history)
        ]
    json.dump(
        {
            'histories': count,
            'calls': sum(outcomes.values()),
            'answered': outcomes[Outcome.ANSWERED],
            'not_run': outcomes[Outcome.NOT_RUN],
            'unknown': outcomes[Outcome.UNKNOWN],
            'violations': len(violations),
            'first': violations[:_MAX_SHOWN],
            'seconds': round(time.monotonic() - began, 1),
        },
        sys.stdout,
    )
    sys.stdout.write('\n')
    return 1 if violations else 0
