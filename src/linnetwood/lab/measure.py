"""Run a measurement and print one JSON object: linnetwood-measure."""

import sys

import defopt

from linnetwood.lab.measure_burst import burst
from linnetwood.lab.measure_callcost import callcost
from linnetwood.lab.measure_control import control
from linnetwood.lab.measure_histories import histories
from linnetwood.lab.measure_policy import policy
from linnetwood.lab.measure_routing import routing
from linnetwood.lab.measure_serve import serve
from linnetwood.lab.measure_silences import silences
from linnetwood.lab.measure_soak import soak
from linnetwood.lab.measure_versions import versions

COMMANDS = (
    burst,
    callcost,
    control,
    histories,
    policy,
    routing,
    serve,
    silences,
    soak,
    versions,
)


def main() -> None:
    """Run the command line; exit 1 if a measurement missed its target."""
    missed = defopt.run(
        {one.__name__: one for one in COMMANDS},
        no_negated_flags=True,
    )
    sys.exit(int(missed or 0))


if __name__ == '__main__':
    main()
