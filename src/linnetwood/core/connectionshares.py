"""How many connections each part of a process may have at once."""

import dataclasses
import resource

# Descriptors that the platform keeps for files.
_FOR_FILES = 200
# More than a process ever has, where no limit is set.
_UNLIMITED = 65536
_MIN_CONNECTIONS = 64
_MIN_CONTROL = 12
# Shares of all connections. What they leave is for the store, other processes
# that this one calls, and its own pipes.
_CALLERS = 0.42
_CALLS = 0.33
_ENTRY_PROCESSES = 0.1
_ENDPOINT_PROCESSES = 0.6
_CONTROL = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShares:
    """The most connections of each kind.

    `callers` and `processes` bound those that are accepted from callers and
    from other processes, `calls` those to endpoints, and `control` those at one
    port of the platform, as for readiness checks and metrics.
    """

    callers: int
    calls: int
    processes: int
    control: int


def entry_shares(descriptors: int = 0) -> ConnectionShares:
    """Return the shares of an entry; 0 descriptors set no limit of their own.

    The kernel's limit on this process holds in any case.
    """
    total = _connections(descriptors)
    return ConnectionShares(
        int(total * _CALLERS),
        int(total * _CALLS),
        int(total * _ENTRY_PROCESSES),
        _control(total),
    )


def endpoint_shares(descriptors: int = 0) -> ConnectionShares:
    """Return the shares of an endpoint process, which has no callers."""
    total = _connections(descriptors)
    return ConnectionShares(
        0, 0, int(total * _ENDPOINT_PROCESSES), _control(total)
    )


def _connections(descriptors: int) -> int:
    limits = [descriptors or _UNLIMITED]
    of_kernel, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if of_kernel != resource.RLIM_INFINITY:
        limits.append(of_kernel)
    return max(_MIN_CONNECTIONS, min(limits) - _FOR_FILES)


def _control(total: int) -> int:
    return max(_MIN_CONTROL, int(total * _CONTROL))
