"""Read which package imports which, and draw it.

Without arguments it writes docs/packages.json and docs/packages.svg anew.
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
# From the ground up, as tests/test_layers.py has them.
FLOORS = (
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
_BEND = 0.17
_BOX = 1.6
_HALF = 0.3
_HEAD = 12


def read_imports(sources: pathlib.Path) -> dict[str, list[str]]:
    """Give for each package the others that it imports, by name."""
    return {
        floor: sorted(_imported(sources / floor) - {floor}) for floor in FLOORS
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
    """Give the data as it stands in the file."""
    return f'{json.dumps(imports, indent=2)}\n'


def draw(imports: Mapping[str, list[str]], target: pathlib.Path) -> None:
    """Draw the packages one over the other, and an arrow an import."""
    mpl.use('Agg')
    mpl.rcParams['svg.hashsalt'] = 'packages'
    figure, axes = plt.subplots(figsize=(8, 8))
    for height, name in enumerate(FLOORS):
        axes.text(0, height, name, ha='center', va='center', fontsize=13)
        axes.add_patch(
            Rectangle(
                (-_BOX / 2, height - _HALF),
                _BOX,
                2 * _HALF,
                fill=False,
            ),
        )
        for other in imports[name]:
            _arrow(axes, height, FLOORS.index(other))
    axes.set_xlim(-4, 4)
    axes.set_ylim(-1, len(FLOORS))
    axes.axis('off')
    figure.savefig(target, metadata={'Date': None}, bbox_inches='tight')


def _arrow(axes: Axes, above: int, below: int) -> None:
    """Bend it the further the more floors it passes, by turns left and right.

    What imports from the floor just below needs no bend.
    """
    passed = above - below - 1
    side = 0
    if passed:
        side = 1 if above % 2 else -1
    place = side * _BOX / 2
    inset = 0 if passed else _HALF
    bend = -side * (_BEND + _BEND * passed / 2)
    arrow = FancyArrowPatch(
        (place, above - inset),
        (place, below + inset),
        connectionstyle=f'arc3,rad={bend}',
        arrowstyle='->',
        mutation_scale=_HEAD,
        color=f'C{above}',
    )
    # The picture's file tells by this what it shows.
    arrow.set_gid(f'{FLOORS[above]}-imports-{FLOORS[below]}')
    axes.add_patch(arrow)


def main() -> None:
    """Write both files anew."""
    imports = read_imports(SOURCES)
    EDGES.write_text(as_text(imports))
    draw(imports, PICTURE)


if __name__ == '__main__':
    main()
