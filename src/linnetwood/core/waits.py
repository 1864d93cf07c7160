"""Wait for an event for a while, without ever losing a cancellation."""

import asyncio


async def happened(event: asyncio.Event, seconds: float) -> bool:
    """Wait for the event; tell whether it came in time.

    asyncio.wait_for may swallow a cancellation that meets the event, and a
    loop that waits so would outlive its own close. Other tasks get a turn even
    when the event is there already, so that no such loop can hold up a process.
    """
    await asyncio.sleep(0)
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
