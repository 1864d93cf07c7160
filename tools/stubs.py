"""Write type stubs beside the generated Thrift modules."""

import importlib
import pathlib
import sys
from types import ModuleType

from thrift.Thrift import TType

ROOT = pathlib.Path(__file__).resolve().parent.parent / 'src'
PLAIN = {
    TType.BOOL: 'bool',
    TType.I32: 'int',
    TType.I64: 'int',
    TType.DOUBLE: 'float',
}


def _type(kind: int, extra: object) -> str:
    if kind == TType.STRING:
        return 'bytes' if extra == 'BINARY' else 'str'
    if kind == TType.STRUCT:
        return str(extra[0].__name__)  # type: ignore[index]
    if kind == TType.LIST:
        inner = _type(extra[0], extra[1])  # type: ignore[index]
        return f'list[{inner}]'
    if kind == TType.MAP:
        key = _type(extra[0], extra[1])  # type: ignore[index]
        inner = _type(extra[2], extra[3])  # type: ignore[index]
        return f'dict[{key}, {inner}]'
    return PLAIN[kind]


def _struct(cls: type) -> list[str]:
    fields = [
        (spec[2], _type(spec[1], spec[3]))
        for spec in cls.thrift_spec  # type: ignore[attr-defined]
        if spec
    ]
    base = 'Exception' if issubclass(cls, Exception) else ''
    name = f'{cls.__name__}({base})' if base else cls.__name__
    lines = [f'class {name}:']
    lines += [f'    {field}: {kind}' for field, kind in fields]
    args = ', '.join(f'{field}: {kind} = ...' for field, kind in fields)
    lines.append(f'    def __init__(self, {args}) -> None: ...')
    return lines


def _enum(cls: type) -> list[str]:
    names = [
        name
        for name in vars(cls)
        if name.isupper() and not name.startswith('_')
    ]
    return (
        [f'class {cls.__name__}:']
        + [f'    {name}: int' for name in names]
        + [
            '    _VALUES_TO_NAMES: dict[int, str]',
            '    _NAMES_TO_VALUES: dict[str, int]',
        ]
    )


def _stub(module: ModuleType) -> str:
    lines: list[str] = []
    for cls in vars(module).values():
        if not isinstance(cls, type) or cls.__module__ != module.__name__:
            continue
        if hasattr(cls, 'thrift_spec'):
            lines += _struct(cls)
        elif hasattr(cls, '_VALUES_TO_NAMES'):
            lines += _enum(cls)
    return '\n'.join(lines) + '\n'


def main() -> None:
    """Write one stub for each generated types module."""
    sys.path.insert(0, str(ROOT))
    for name in ('schema', 'wire'):
        module = importlib.import_module(f'linnetwood.gen.{name}.ttypes')
        target = ROOT / 'linnetwood' / 'gen' / name / 'ttypes.pyi'
        target.write_text(_stub(module))


if __name__ == '__main__':
    main()
