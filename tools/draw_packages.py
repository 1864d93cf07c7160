"""Draw which package imports which.

Writes docs/packages.json and docs/packages.svg.
"""

import ast
import json
import pathlib
from collections.abc import Iterator, Mapping

import matplotlib as mpl
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.patches import FancyArrowPatch, Rectangle

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = ROOT / 'src' / 'linnetwood'
EDGES = ROOT / 'docs' / 'packages.json'
PICTURE = ROOT / 'docs' / 'packages.svg'
# The lowest layer first, as in tests/test_layers.py.
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
_BEND_PER_LAYER = 0.17
_BOX_WIDTH = 1.6
_HALF_BOX_HEIGHT = 0.3
_ARROW_HEAD_SIZE = 12


def read_imports(sources: pathlib.Path) -> dict[str, list[str]]:
    """Return for each package the names of the others that it imports."""
    return {
        layer: sorted(_imported(sources / layer) - {layer}) for layer in LAYERS
    }


def _imported(folder: pathlib.Path) -> set[str]:
    found: set[str] = set()
    for path in folder.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                found.update(_packages(node))
    return found


def _packages(node: ast.ImportFrom) -> Iterator[str]:
    product, _, rest = (node.module or '').partition('.')
    if product == 'linnetwood' and rest:
        yield rest.partition('.')[0]
    elif product == 'linnetwood':
        yield from (alias.name for alias in node.names)


def as_text(imports: Mapping[str, list[str]]) -> str:
    """Return the content of the JSON file."""
    return f'{json.dumps(imports, indent=2)}\n'


def draw(imports: Mapping[str, list[str]], target: pathlib.Path) -> None:
    """Draw the packages in layers, with an arrow for each import."""
    mpl.use('Agg')
    mpl.rcParams['svg.hashsalt'] = 'packages'
    figure, axes = plt.subplots(figsize=(8, 8))
    for height, name in enumerate(LAYERS):
        axes.text(0, height, name, ha='center', va='center', fontsize=13)
        axes.add_patch(
            Rectangle(
                (-_BOX_WIDTH / 2, height - _HALF_BOX_HEIGHT),
                _BOX_WIDTH,
                2 * _HALF_BOX_HEIGHT,
                fill=False,
            ),
        )
        for other in imports[name]:
            _arrow(axes, height, LAYERS.index(other))
    axes.set_xlim(-4, 4)
    axes.set_ylim(-1, len(LAYERS))
    axes.axis('off')
    figure.savefig(target, metadata={'Date': None}, bbox_inches='tight')


def _arrow(axes: Axes, above: int, below: int) -> None:
    """Draw an arrow that bends around the layers between its ends.

    It bends further the more layers there are, left and right by turns. An
    arrow to the next lower layer is straight.
    """
    passed = above - below - 1
    side = 0
    if passed:
        side = 1 if above % 2 else -1
    arrow_x = side * _BOX_WIDTH / 2
    inset = 0 if passed else _HALF_BOX_HEIGHT
    bend = -side * (_BEND_PER_LAYER + _BEND_PER_LAYER * passed / 2)
    arrow = FancyArrowPatch(
        (arrow_x, above - inset),
        (arrow_x, below + inset),
        connectionstyle=f'arc3,rad={bend}',
        arrowstyle='->',
        mutation_scale=_ARROW_HEAD_SIZE,
        color=f'C{above}',
    )
    # The id names the import in the image file.
    arrow.set_gid(f'{LAYERS[above]}-imports-{LAYERS[below]}')
    axes.add_patch(arrow)


def main() -> None:
    """Write both files."""
    imports = read_imports(SOURCES)
    EDGES.write_text(as_text(imports))
    draw(imports, PICTURE)


if __name__ == '__main__':
    main()
