"""Load a schema file; a file with any error is refused as a whole."""

import pathlib
from types import MappingProxyType
from typing import Any

import thriftpy2
from thrift.Thrift import TType
from thriftpy2.parser.exc import (
    ThriftGrammarError,
    ThriftLexerError,
    ThriftParserError,
)

from linnetwood.core.errors import SchemaError
from linnetwood.fleet import configuration
from linnetwood.fleet.constantparser import ConstantParser, ValueTree
from linnetwood.gen.schema.ttypes import Deployment, Weigh

IDL_FOLDER = pathlib.Path(__file__).parent.parent / 'idl'
DEPLOYMENT_TYPE = 'linnetwood.Deployment'
_ENUMS = MappingProxyType({'weigh': Weigh})
_ALLOWED = MappingProxyType(
    {
        TType.STRING: 'text',
        TType.I32: 'a whole number of 32 bits',
        TType.I64: 'a whole number of 64 bits',
        TType.BOOL: 'true or false',
    },
)
_KINDS = MappingProxyType(
    {
        TType.STRING: 'LITERAL',
        TType.I32: 'INTCONSTANT',
        TType.I64: 'INTCONSTANT',
        TType.BOOL: 'BOOLCONSTANT',
    },
)
_BITS = MappingProxyType({TType.I32: 31, TType.I64: 63})


def load(path: str) -> Deployment:
    """Read a deployment; raise SchemaError with file, line and field."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise SchemaError('schema-unreadable', f'{path}: {exc}') from exc
    tree = ConstantParser(text, path).parse_constant(DEPLOYMENT_TYPE)
    deployment: Deployment = _Builder(path).struct(Deployment, tree, '')
    _check_grammar(path)
    errors = list(configuration.validation_errors(deployment))
    if errors:
        raise SchemaError(
            'schema-contradiction', f'{path}: {"; ".join(errors)}'
        )
    return deployment


def _check_grammar(path: str) -> None:
    try:
        thriftpy2.load(path, include_dirs=[str(IDL_FOLDER)])
    except (ThriftGrammarError, ThriftLexerError, ThriftParserError) as exc:
        raise SchemaError('schema-syntax', f'{path}: {exc}') from exc


class _Builder:
    """Build generated structs from a tree; raise SchemaError on a mismatch."""

    def __init__(self, path: str) -> None:
        self._path = path

    def struct(self, kind: Any, tree: ValueTree, field: str) -> Any:
        if tree.kind != '{':
            raise self._field_error(tree, field, 'a map')
        specs = {spec[2]: spec for spec in kind.thrift_spec if spec}
        found: dict[str, Any] = {}
        for key, child in tree.pairs:
            name = str(key.scalar)
            inner = _inside(field, name)
            if name in found:
                raise self._field_error(key, inner, 'each field once')
            if name not in specs:
                raise self._field_error(key, inner, f'one of {sorted(specs)}')
            found[name] = self._typed(specs[name][1:4], child, inner)
        built = kind(**found)
        self._complete(built, tree, field)
        return built

    def _complete(self, built: Any, tree: ValueTree, field: str) -> None:
        for spec in built.thrift_spec:
            if spec and getattr(built, spec[2]) is None:
                name = _inside(field, spec[2])
                raise SchemaError(
                    'schema-field-missing',
                    f'{self._path}:{tree.line}: field {name}: '
                    'found nothing, it must be given',
                )

    def _typed(self, spec: Any, tree: ValueTree, field: str) -> Any:
        kind, name, extra = spec
        if kind == TType.STRUCT:
            return self.struct(extra[0], tree, field)
        if kind == TType.LIST:
            return self._sequence(extra, tree, field)
        enum = _ENUMS.get(name)
        if enum is not None:
            return self._enum(enum, tree, field)
        return self._scalar(kind, tree, field)

    def _sequence(self, extra: Any, tree: ValueTree, field: str) -> list[Any]:
        if tree.kind != '[':
            raise self._field_error(tree, field, 'a list')
        return [
            self._typed((extra[0], '', extra[1]), child, f'{field}[{index}]')
            for index, child in enumerate(tree.trees)
        ]

    def _enum(self, kind: Any, tree: ValueTree, field: str) -> int:
        names = kind._NAMES_TO_VALUES
        word = str(tree.scalar).rpartition('.')[2]
        if tree.kind != 'IDENTIFIER' or word not in names:
            raise self._field_error(tree, field, f'one of {sorted(names)}')
        return int(names[word])

    def _scalar(self, kind: int, tree: ValueTree, field: str) -> Any:
        if tree.kind != _KINDS[kind]:
            raise self._field_error(tree, field, _ALLOWED[kind])
        if kind in _BITS and abs(tree.scalar) >> _BITS[kind]:
            raise self._field_error(tree, field, _ALLOWED[kind])
        return tree.scalar

    def _field_error(
        self, tree: ValueTree, field: str, allowed: str
    ) -> SchemaError:
        return SchemaError(
            'schema-bad-field',
            f'{self._path}:{tree.line}: field {field or "deployment"}: '
            f'found {tree.describe()}, allowed is {allowed}',
        )


def _inside(field: str, name: str) -> str:
    return f'{field}.{name}' if field else name
