"""Probe whether a port is closed."""

import asyncio

# Within a fleet a connection is accepted or refused within milliseconds; a VM
# without power, or behind a network cut, does not answer.
_CONNECT_TIMEOUT_S = 0.4


# A process that runs keeps an idle connection; what forwards to one that has
# crashed closes it within milliseconds, and refuses connections soon after.
_KEPT_OPEN_S = 0.03
_PROBES = 3


async def refuses_connections(host: str, port: int) -> bool:
    """Return whether a connection is refused; a timeout is no refusal."""
    for _ in range(_PROBES):
        try:
            kept_open = await _keeps_open(host, port)
        except ConnectionRefusedError:
            return True
        if kept_open:
            return False
        await asyncio.sleep(_KEPT_OPEN_S)
    return False


async def _keeps_open(host: str, port: int) -> bool:
    """Return whether a connection stays open, or gets no response at all."""
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except TimeoutError:
        return True
    except ConnectionRefusedError:
        raise
    except OSError:
        # It was reset as soon as it was accepted.
        return False
    try:
        return await _is_idle(reader)
    finally:
        writer.close()


async def _is_idle(reader: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(_KEPT_OPEN_S):
            await reader.read(1)
    except TimeoutError:
        return True
    except OSError:
        return False
    return False
