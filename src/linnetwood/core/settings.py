"""Settings in YAML, validated completely before anything starts."""

import dataclasses
from types import MappingProxyType
from typing import Any, TypeVar, cast, get_args, get_origin, get_type_hints

import yaml

from linnetwood.core.errors import SettingsError

_Settings = TypeVar('_Settings')
_SCALARS = MappingProxyType(
    {
        str: 'text',
        int: 'a whole number',
        float: 'a number',
        bool: 'true or false',
    },
)
MAX_PORT = 65535


def at_least(low: float, default: object = dataclasses.MISSING) -> Any:
    """Declare a number with a lower bound."""
    return dataclasses.field(default=default, metadata={'low': low})


def one_of(*allowed: str, default: object = dataclasses.MISSING) -> Any:
    """Declare text with a set of allowed values."""
    return dataclasses.field(default=default, metadata={'allowed': allowed})


def port(default: object = dataclasses.MISSING) -> Any:
    """Declare a port number."""
    return dataclasses.field(
        default=default,
        metadata={'low': 0, 'high': MAX_PORT},
    )


def load(cls: type[_Settings], path: str) -> _Settings:
    """Read a settings file; raise SettingsError naming file, line and field."""
    try:
        with open(path, encoding='utf-8') as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError('settings-unreadable', f'{path}: {exc}') from exc
    return parse(cls, text, path)


def parse(cls: type[_Settings], text: str, path: str) -> _Settings:
    """Validate settings text against a class and return an instance."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as exc:
        raise SettingsError('settings-not-yaml', f'{path}: {exc}') from exc
    if node is None:
        raise SettingsError('settings-empty', f'{path}: the file says nothing')
    return cast(_Settings, _Reader(path).read_struct(cls, node, ''))


class _Reader:
    """Build settings from YAML nodes; reject any that do not fit."""

    def __init__(self, path: str) -> None:
        self._path = path

    def read_struct(self, kind: type, node: yaml.Node, name: str) -> object:
        if not isinstance(node, yaml.MappingNode):
            raise self._error(node, name or 'the file', 'a mapping')
        fields = {field.name: field for field in dataclasses.fields(kind)}
        hints = get_type_hints(kind)
        found: dict[str, object] = {}
        for key_node, child in node.value:
            key = str(key_node.value)
            if key not in fields:
                raise self._error(key_node, name, f'one of {sorted(fields)}')
            if key in found:
                raise self._error(key_node, key, 'each field once')
            found[key] = self._read_field(fields[key], hints[key], child)
        self._check_required(kind, node, found)
        return kind(**found)

    def _check_required(
        self,
        kind: type,
        node: yaml.Node,
        found: dict[str, object],
    ) -> None:
        for field in dataclasses.fields(kind):
            optional = (
                field.default is not dataclasses.MISSING
                or field.default_factory is not dataclasses.MISSING
            )
            if not optional and field.name not in found:
                line = node.start_mark.line + 1
                raise SettingsError(
                    'settings-field-missing',
                    f'{self._path}:{line}: field {field.name}: '
                    'found nothing, it must be given',
                )

    def _read_field(
        self,
        field: 'dataclasses.Field[Any]',
        hint: Any,
        node: yaml.Node,
    ) -> object:
        if dataclasses.is_dataclass(hint):
            return self.read_struct(cast(type, hint), node, field.name)
        if get_origin(hint) is tuple:
            return self._read_sequence(field, get_args(hint)[0], node)
        return self._read_scalar(field, hint, node)

    def _read_sequence(
        self,
        field: 'dataclasses.Field[Any]',
        hint: Any,
        node: yaml.Node,
    ) -> object:
        if not isinstance(node, yaml.SequenceNode):
            raise self._error(node, field.name, 'a list')
        return tuple(
            self._read_field(field, hint, child) for child in node.value
        )

    def _read_scalar(
        self,
        field: 'dataclasses.Field[Any]',
        hint: Any,
        node: yaml.Node,
    ) -> object:
        plain = yaml.SafeLoader('').construct_object(node, deep=True)
        if hint is float and plain.__class__ is int:
            plain = float(plain)
        if plain.__class__ is not hint:
            raise self._error(node, field.name, _SCALARS[hint])
        self._check_limits(field, node, plain)
        return plain

    def _check_limits(
        self,
        field: 'dataclasses.Field[Any]',
        node: yaml.Node,
        plain: Any,
    ) -> None:
        limits = field.metadata
        if 'low' in limits and plain < limits['low']:
            raise self._error(node, field.name, f'at least {limits["low"]}')
        if 'high' in limits and plain > limits['high']:
            raise self._error(node, field.name, f'at most {limits["high"]}')
        if 'allowed' in limits and plain not in limits['allowed']:
            words = ', '.join(limits['allowed'])
            raise self._error(node, field.name, f'one of {words}')

    def _error(self, node: yaml.Node, name: str, allowed: str) -> SettingsError:
        line = node.start_mark.line + 1
        found = node.value if isinstance(node, yaml.ScalarNode) else node.tag
        return SettingsError(
            'settings-bad-field',
            f'{self._path}:{line}: field {name}: '
            f'found {found!r}, allowed is {allowed}',
        )
