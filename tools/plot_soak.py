"""Plot calls by outcome, and faults, over time from a soak's history."""

import collections
import json
import pathlib
import sys
from typing import Any

import matplotlib as mpl
from matplotlib import pyplot as plt

_SUCCESS = 200
_REFUSED = 503


def outcome(call: dict[str, Any]) -> str:
    """Return the name of a call's outcome."""
    if call['left_at']:
        return 'caller left or gave up'
    if call['status'] == _SUCCESS:
        return 'answered'
    return 'refused' if call['status'] == _REFUSED else 'failed or cut'


def main() -> None:
    """Read the file of `linnetwood-measure soak --out FILE`; write one PNG."""
    target, source = sys.argv[1:]
    mpl.use('Agg')
    found = json.loads(pathlib.Path(source).read_text())
    calls = [call for call in found['calls'] if not call['probes']]
    began = min(call['sent_at'] for call in calls)
    seconds: dict[str, collections.Counter[int]] = collections.defaultdict(
        collections.Counter,
    )
    for call in calls:
        seconds[outcome(call)][int(call['sent_at'] - began)] += 1
    figure, (top, bottom) = plt.subplots(2, 1, figsize=(9, 7), sharex=True)
    for name, counts in sorted(seconds.items()):
        times = range(max(counts) + 1)
        top.step(
            times, [counts[one] for one in times], where='post', label=name
        )
    top.set_ylabel('calls a second')
    top.legend(loc='upper right')
    faults = [*found['troubles'], *found['silences'], *found['reloads']]
    kinds = sorted({one['kind'] for one in faults}, reverse=True)
    for one in faults:
        span = (one['at'] - began, one['until'] - one['at'])
        bottom.broken_barh([span], (kinds.index(one['kind']) - 0.4, 0.8))
    bottom.set_yticks(range(len(kinds)), kinds, fontsize=7)
    bottom.set_xlabel('seconds')
    figure.tight_layout()
    figure.savefig(target, dpi=90)


if __name__ == '__main__':
    main()
