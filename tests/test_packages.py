"""What the newcomer's page says of the folders is what the code does."""

import re
import unittest

from tests.test_layers import LAYERS, SOURCES
from tools import draw_packages

PAGE = draw_packages.ROOT / 'docs' / 'ARCHITECTURE.md'
ARROW = re.compile('id="([a-z]+)-imports-([a-z]+)"')
MODULE = re.compile('`([a-z]+(?:/[a-z_]+)+[.]py)`')


class PackagesTest(unittest.TestCase):
    """Read the imports; tools/draw_packages.py updates the file."""

    def test_the_data_is_of_this_code(self) -> None:
        """The committed imports are those that the code has."""
        found = draw_packages.read_imports(SOURCES)
        text = draw_packages.EDGES.read_text()
        self.assertEqual(text, draw_packages.as_text(found))

    def test_the_picture_is_of_the_data(self) -> None:
        """Each import has its arrow, and no other has one."""
        found = draw_packages.read_imports(SOURCES)
        expected = {(one, two) for one, names in found.items() for two in names}
        drawn = ARROW.findall(draw_packages.PICTURE.read_text())
        self.assertEqual(sorted(drawn), sorted(expected))

    def test_the_floors_are_those_that_are_kept(self) -> None:
        """The drawing has them in the order that the layers' test has."""
        self.assertEqual(draw_packages.LAYERS, LAYERS)

    def test_every_step_of_the_page_is_a_module(self) -> None:
        """The page shows the picture and names no module that is gone."""
        text = PAGE.read_text()
        self.assertIn(f'({draw_packages.PICTURE.name})', text)
        named = MODULE.findall(text)
        self.assertGreater(len(named), 20)
        gone = [
            name
            for name in named
            if not (SOURCES / name).is_file()
            and not (draw_packages.ROOT / name).is_file()
        ]
        self.assertEqual(gone, [])


if __name__ == '__main__':
    unittest.main()
