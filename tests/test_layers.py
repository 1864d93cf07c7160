"""The packages import only downwards, and the product never the lab."""

import ast
import pathlib
import unittest
from collections.abc import Iterator

SOURCES = pathlib.Path(__file__).resolve().parent.parent / 'src' / 'linnetwood'
# The lowest layer first; each may import itself and those before it.
LAYERS = (
    'gen',
    'core',
    'wire',
    'fleet',
    'calls',
    'weights',
    'platform',
    'programs',
    'lab',
)


def imported(path: pathlib.Path) -> Iterator[str]:
    """Yield the packages of the product that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        parts = node.module.split('.')
        if parts[0] != 'linnetwood':
            continue
        names = parts[1:2] or [alias.name for alias in node.names]
        yield from names


def upward(layer: str, names: Iterator[str]) -> list[str]:
    """Return the imports from layers above a layer."""
    allowed = LAYERS[: LAYERS.index(layer) + 1]
    return [name for name in names if name not in allowed]


class LayersTest(unittest.TestCase):
    """The order of layers in docs/ARCHITECTURE.md."""

    def test_only_downwards(self) -> None:
        """No module imports from a layer above its own."""
        for path in SOURCES.glob('*/**/*.py'):
            layer = path.relative_to(SOURCES).parts[0]
            if layer == 'gen':
                continue
            with self.subTest(path=str(path)):
                self.assertEqual(upward(layer, imported(path)), [])

    def test_every_package_has_a_layer_and_a_docstring(self) -> None:
        """Each package has its place in the order, and is described."""
        for folder in SOURCES.iterdir():
            if not folder.is_dir() or folder.name in {'idl', '__pycache__'}:
                continue
            with self.subTest(folder=folder.name):
                self.assertIn(folder.name, LAYERS)
                if folder.name != 'gen':
                    opening = (folder / '__init__.py').read_text()
                    self.assertIsNotNone(ast.get_docstring(ast.parse(opening)))

    def test_the_check_sees_an_upward_import(self) -> None:
        """An import from above is found, one from below is not."""
        cases: tuple[tuple[str, list[str], list[str]], ...] = (
            ('fleet', ['calls'], ['calls']),
            ('programs', ['lab', 'core'], ['lab']),
            ('weights', ['calls', 'gen'], []),
        )
        for layer, names, expected in cases:
            with self.subTest(layer=layer):
                self.assertEqual(upward(layer, iter(names)), expected)


if __name__ == '__main__':
    unittest.main()
