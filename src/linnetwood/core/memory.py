"""Keep the collector of cycles from what stays."""

import gc

# Objects made between two collections: a relay makes little garbage that
# refers to itself.
_COLLECT_AFTER = 20000


def settle_memory() -> None:
    """Keep collections from what is loaded by now."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECT_AFTER)
