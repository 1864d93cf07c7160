"""Wait for an event with a timeout, without losing a cancellation."""

import asyncio


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for the event; return whether it was set in time.

    asyncio.wait_for may swallow a cancellation in the step in which the event
    is set, and a loop that uses it would then outlive its own close. Other
    tasks run even if the event is set already, so that a loop over this call
    cannot starve them.
    """
    await asyncio.sleep(0)
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
