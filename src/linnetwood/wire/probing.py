"""Probe whether something runs at an address."""

import asyncio
import enum

# Within a fleet a connection is accepted or refused within milliseconds; a VM
# without power, or behind a network cut, does not answer.
_CONNECT_TIMEOUT_S = 0.4


# A process that runs keeps an idle connection; what forwards to one that has
# crashed closes it within milliseconds, and refuses connections soon after.
_KEPT_OPEN_S = 0.03
_PROBES = 3


class Reaction(enum.Enum):
    """What an address does with a connection."""

    KEPT_OPEN = enum.auto()
    # It was accepted and closed at once, as over a limit of connections.
    CLOSED = enum.auto()
    REFUSED = enum.auto()
    # No response at all, as from a VM without power or behind a network cut.
    NONE = enum.auto()


async def probe(host: str, port: int) -> Reaction:
    """Return what an address does with new connections."""
    for _ in range(_PROBES):
        reaction = await _probe_once(host, port)
        if reaction is not Reaction.CLOSED:
            return reaction
        await asyncio.sleep(_KEPT_OPEN_S)
    return Reaction.CLOSED


async def refuses_connections(host: str, port: int) -> bool:
    """Return whether a connection is refused; a timeout is no refusal."""
    return await probe(host, port) is Reaction.REFUSED


async def _probe_once(host: str, port: int) -> Reaction:
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except TimeoutError:
        return Reaction.NONE
    except ConnectionRefusedError:
        return Reaction.REFUSED
    except OSError:
        # It was reset as soon as it was accepted.
        return Reaction.CLOSED
    try:
        is_idle = await _is_idle(reader)
    finally:
        writer.close()
    return Reaction.KEPT_OPEN if is_idle else Reaction.CLOSED


async def _is_idle(reader: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(_KEPT_OPEN_S):
            await reader.read(1)
    except TimeoutError:
        return True
    except OSError:
        return False
    return False
