"""Plot complete replicas over time, with the bound, from a burst's JSON."""

import json
import pathlib
import sys

import matplotlib as mpl
from matplotlib import pyplot as plt


def main() -> None:
    """Read JSON files of linnetwood-measure burst; write one PNG."""
    target, *sources = sys.argv[1:]
    mpl.use('Agg')
    figure, axes = plt.subplots(figsize=(7, 4))
    for source in sources:
        found = json.loads(pathlib.Path(source).read_text())
        bound = found['bound_s']
        times = [0.0] + [at / bound for at, _ in found['curve']]
        shares = [0.0] + [count / found['vms'] for _, count in found['curve']]
        faults = ', faults' if found.get('faults') else ''
        label = f'{found["vms"]} VMs{faults}'
        axes.step(times, shares, where='post', label=label)
    axes.axvline(1, linestyle='--', color='black', label='fluid bound')
    axes.set_xlabel('time / bound')
    axes.set_ylabel('share of replicas complete')
    axes.set_xlim(0.9, None)
    axes.legend(loc='upper left')
    figure.tight_layout()
    figure.savefig(target, dpi=100)


if __name__ == '__main__':
    main()
