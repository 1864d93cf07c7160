"""Settings of a process on the users' platform, for tests."""

import dataclasses
from typing import Any

from linnetwood.platform.settings import ProcessSettings

_SETTINGS = ProcessSettings(
    vm='vm-1',
    host='127.0.0.1',
    zone='z1',
    region='r1',
    wire_port=0,
    store=('127.0.0.1', 1),
    callers=None,
    readiness=None,
    engine=None,
    link_bytes_per_s=456000,
    stop_within_s=8,
    version_bound_s=8,
    config_bound_s=2,
    retry_share=0,
    retry_extra=0,
)


def process_settings(**changes: Any) -> ProcessSettings:
    """Return settings of a process without callers, with these changes."""
    return dataclasses.replace(_SETTINGS, **changes)
