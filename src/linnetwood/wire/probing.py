"""Ask whether anybody listens at an address."""

import asyncio

# Within a fleet a connection is there or refused within milliseconds; a VM
# without power, or behind a cut, says nothing.
_ANSWERS_S = 0.4


async def refuses(host: str, port: int) -> bool:
    """Tell whether a connection is refused; silence is no refusal."""
    try:
        async with asyncio.timeout(_ANSWERS_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except OSError:
        # A timeout is one, too.
        return False
    writer.close()
    return False
