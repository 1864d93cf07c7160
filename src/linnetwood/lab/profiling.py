"""Run a program under a profiler: linnetwood.lab.profiling OUT MODULE.

It measures processor time, which excludes waiting and changes little when the
machine is busy with other work.
"""

import cProfile
import runpy
import sys
import time

_ARGUMENTS = 3


def main() -> int:
    """Run a module as a program; write the profile when it ends."""
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
