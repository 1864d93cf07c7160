"""Read the settings file that the platform writes for each process."""

import dataclasses
import os
import tomllib
from collections.abc import Mapping
from typing import Any, cast

from linnetwood.core.errors import SettingsError

_PATH_VARIABLE = 'LINNETWOOD_NODE_FILE'
_DEFAULT_PATH = '/etc/linnetwood/local.toml'
_MILLISECONDS = 1000
# Defaults if the platform states no bound: those of its first deployments.
_VERSION_MS = 8000
_CONFIG_MS = 2000
_CONTACT_MS = 3000
_BAD_FIELD = (KeyError, TypeError, ValueError, IndexError)
_MEGABIT_BYTES = 125000
_MEGABYTE = 1000000


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """The settings of a process; times in seconds."""

    vm: str
    host: str
    zone: str
    region: str
    wire_port: int
    store: tuple[str, int]
    callers: tuple[str, int] | None
    readiness: tuple[str, int] | None
    engine: tuple[str, int] | None
    link_bytes_per_s: float
    stop_within_s: float
    version_bound_s: float
    config_bound_s: float
    retry_share: float
    retry_extra: float
    # The region of each availability zone.
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
    # The platform's bounds hold for a process this long after its start.
    contact_s: float = _CONTACT_MS / _MILLISECONDS
    # The memory that the process may use; 0 if the platform names none.
    memory_bytes: int = 0
    # The files and connections that it may have open; 0 if none are named.
    file_descriptors: int = 0


def load(path: str = '') -> ProcessSettings:
    """Read the file, or raise SettingsError with the file and the field."""
    place = path or os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH)
    try:
        with open(place, 'rb') as stream:
            given = tomllib.load(stream)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError('settings-unreadable', f'{place}: {exc}') from exc
    try:
        return _read(given)
    except _BAD_FIELD as exc:
        raise SettingsError('settings-bad-field', f'{place}: {exc!r}') from exc


def address(text: str) -> tuple[str, int]:
    """Parse IP:PORT."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def _read(given: Mapping[str, Any]) -> ProcessSettings:
    listen = cast(Mapping[str, str], given.get('listen', {}))
    bounds = cast(Mapping[str, float], given.get('bounds', {}))
    return ProcessSettings(
        vm=str(given['node']),
        host=str(given['ip']),
        zone=str(given['zone']),
        region=str(given['region']),
        wire_port=int(given['internal_port_range'][0]),
        store=address(given['platform']['address']),
        callers=_optional(listen.get('frontend')),
        readiness=_optional(listen.get('ready')),
        engine=_optional(given.get('app')),
        link_bytes_per_s=given['limits']['link_mbps'] * _MEGABIT_BYTES,
        stop_within_s=float(bounds.get('grace_period_s', 8)),
        version_bound_s=bounds.get('version_ms', _VERSION_MS) / _MILLISECONDS,
        config_bound_s=(
            bounds.get('config_apply_ms', _CONFIG_MS) / _MILLISECONDS
        ),
        retry_share=float(bounds.get('retry_budget_ratio', 0)),
        retry_extra=float(bounds.get('retry_budget_extra', 0)),
        regions=dict(given.get('zones', {})),
        contact_s=bounds.get('contact_ms', _CONTACT_MS) / _MILLISECONDS,
        # With a negative limit every call would be refused.
        memory_bytes=max(0, int(given['limits'].get('memory_mb', 0)))
        * _MEGABYTE,
        file_descriptors=max(
            0, int(given['limits'].get('file_descriptors', 0))
        ),
    )


def _optional(text: str | None) -> tuple[str, int] | None:
    return address(text) if text else None
