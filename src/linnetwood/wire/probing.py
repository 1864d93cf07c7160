"""Probe whether a port is closed."""

import asyncio

# Within a fleet a connection is accepted or refused within milliseconds; a VM
# without power, or behind a network cut, does not answer.
_CONNECT_TIMEOUT_S = 0.4


async def refuses_connections(host: str, port: int) -> bool:
    """Return whether a connection is refused; a timeout is no refusal."""
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except OSError:
        # This includes TimeoutError.
        return False
    writer.close()
    return False
