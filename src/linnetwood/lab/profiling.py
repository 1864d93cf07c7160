"""Run a program under a profiler: linnetwood.lab.profiling OUT MODULE.

Times are those of the processor, so that waiting costs nothing, and a machine
that is busy with other work changes little.
"""

import cProfile
import runpy
import sys
import time

_ARGUMENTS = 3


def main() -> int:
    """Run a module as a program; write its figures when it ends."""
    if len(sys.argv) != _ARGUMENTS:
        sys.stderr.write('usage: profiling OUT MODULE\n')
        return 2
    _, path, module = sys.argv
    sys.argv = [module]
    profile = cProfile.Profile(time.process_time)
    try:
        profile.runcall(runpy.run_module, module, run_name='__main__')
    except SystemExit as exc:
        return int(exc.code or 0)
    finally:
        profile.dump_stats(path)
    return 0


if __name__ == '__main__':
    sys.exit(main())
