"""Parse the constant of a schema file into a tree with line numbers."""

import dataclasses
from collections.abc import Iterator
from typing import Any

from ply import lex
from thriftpy2.parser import lexer as thrift_lexer
from thriftpy2.parser.exc import ThriftLexerError

from linnetwood.core.errors import SchemaError

_SCALARS = frozenset(
    ('LITERAL', 'INTCONSTANT', 'DUBCONSTANT', 'BOOLCONSTANT', 'IDENTIFIER'),
)
_SEPARATORS = frozenset((',', ';'))
_OPENING = frozenset(('{', '['))


@dataclasses.dataclass(frozen=True, slots=True)
class ValueTree:
    """One value in the file: a scalar, a list of trees or pairs of trees."""

    line: int
    kind: str
    scalar: Any = None
    trees: tuple['ValueTree', ...] = ()
    pairs: tuple[tuple['ValueTree', 'ValueTree'], ...] = ()

    def describe(self) -> str:
        """Return the value as error messages show it."""
        if self.kind == '{':
            return 'a map'
        return 'a list' if self.kind == '[' else repr(self.scalar)


class ConstantParser:
    """Parse one constant from the tokens of a file."""

    def __init__(self, text: str, path: str) -> None:
        """Split the text into tokens; raise SchemaError if it has bad ones."""
        self._path = path
        self._tokens = list(_tokenize(text, path))
        self._position = 0

    def parse_constant(self, type_name: str) -> ValueTree:
        """Return the value of the first constant of a type.

        Raises SchemaError if there is none or its syntax is wrong.
        """
        for index, token in enumerate(self._tokens):
            if token.type == 'CONST' and self._declares(index, type_name):
                self._position = index + 4
                return self._tree()
        raise SchemaError(
            'schema-no-deployment',
            f'{self._path}: found no constant of type {type_name}',
        )

    def _declares(self, index: int, type_name: str) -> bool:
        following = self._tokens[index + 1 : index + 4]
        return (
            len(following) == 3
            and following[0].value == type_name
            and following[2].value == '='
        )

    def _tree(self) -> ValueTree:
        token = self._next()
        if token.value in _OPENING and token.type == token.value:
            if token.value == '[':
                return ValueTree(token.lineno, '[', trees=tuple(self._trees()))
            return ValueTree(token.lineno, '{', pairs=tuple(self._pairs()))
        if token.type not in _SCALARS:
            raise self._syntax_error(token.lineno, token.value, 'a value')
        return ValueTree(token.lineno, token.type, token.value)

    def _trees(self) -> Iterator[ValueTree]:
        while not self._closes(']'):
            yield self._tree()
            self._skip_separator()

    def _pairs(self) -> Iterator[tuple[ValueTree, ValueTree]]:
        while not self._closes('}'):
            key = self._tree()
            colon = self._next()
            if colon.value != ':':
                raise self._syntax_error(colon.lineno, colon.value, "':'")
            yield key, self._tree()
            self._skip_separator()

    def _closes(self, bracket: str) -> bool:
        if self._peek().value == bracket:
            self._next()
            return True
        return False

    def _skip_separator(self) -> None:
        if self._peek().value in _SEPARATORS:
            self._next()

    def _peek(self) -> Any:
        if self._position >= len(self._tokens):
            last = self._tokens[-1].lineno
            raise self._syntax_error(
                last, 'the end of the file', 'more of the constant'
            )
        return self._tokens[self._position]

    def _next(self) -> Any:
        token = self._peek()
        self._position += 1
        return token

    def _syntax_error(
        self, line: int, found: object, allowed: str
    ) -> SchemaError:
        return SchemaError(
            'schema-syntax',
            f'{self._path}:{line}: found {found!r}, allowed is {allowed}',
        )


def _tokenize(text: str, path: str) -> Iterator[Any]:
    lexer = lex.lex(module=thrift_lexer)
    lexer.input(text)
    try:
        yield from iter(lexer.token, None)
    except ThriftLexerError as exc:
        raise SchemaError('schema-syntax', f'{path}: {exc}') from exc
