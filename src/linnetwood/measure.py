"""Run a measurement and print one JSON object: linnetwood-measure."""

import defopt

from linnetwood.measure_burst import burst
from linnetwood.measure_control import control
from linnetwood.measure_histories import histories
from linnetwood.measure_routing import routing
from linnetwood.measure_serve import serve

COMMANDS = (burst, control, histories, routing, serve)


def main() -> None:
    """Run the command line."""
    defopt.run(
        {one.__name__: one for one in COMMANDS},
        no_negated_flags=True,
    )


if __name__ == '__main__':
    main()
