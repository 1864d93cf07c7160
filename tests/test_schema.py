"""Schema files with an error are refused as a whole.

The error names file, line and field.
"""

import pathlib
import tempfile
import unittest

from linnetwood.core.errors import SchemaError
from linnetwood.fleet import schema
from linnetwood.gen.schema.ttypes import Weigh

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = 'include "linnetwood.thrift"\nconst linnetwood.Deployment d = '
MODEL = '{"name": "m", "versions": [{"name": "v1", "manifest": "a"}]}'


class SchemaTest(unittest.TestCase):
    """Loading of good and bad schema files."""

    def load(self, text: str) -> object:
        """Load a schema file with the given text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'd.thrift')
            path.write_text(text)
            return schema.load(str(path))

    def test_example_loads(self) -> None:
        """The example file loads."""
        deployment = schema.load(str(ROOT / 'examples' / 'deployment.thrift'))
        self.assertEqual(deployment.intents[0].weigh, Weigh.TIME)

    def test_refusals(self) -> None:
        """Each refusal that docs/REFUSALS.md lists for schema files."""
        intent = '{"model": "m", "version": "v9", "replicas": 1}'
        cases = (
            ('struct A {}', 'schema-no-deployment'),
            (f'{HEAD}{{', 'schema-syntax.*d.thrift:2'),
            (f'{HEAD}{{"models" 3}}', "schema-syntax.*:2: found 3, .*':'"),
            (f'{HEAD}{{}} struct', 'schema-syntax'),
            (f'{HEAD}\x01{{}}', 'schema-syntax'),
            (f'{HEAD}[]', ':2: field deployment: found a list, .* a map'),
            (f'{HEAD}{{"modles": []}}', "found 'modles', allowed is one of"),
            (f'{HEAD}{{"models": 3}}', 'field models: found 3, .* a list'),
            (
                f'{HEAD}{{"models": [\n{{"versions": []}}]}}',
                r':3: field models\[0\].name: found nothing',
            ),
            (
                f'{HEAD}{{"models": [{{"name": 4}}]}}',
                r'field models\[0\].name: found 4, allowed is text',
            ),
            (
                f'{HEAD}{{"models": [], "models": []}}',
                'field models: .*each field once',
            ),
            (
                f'{HEAD}{{"organisations": [{{"name": "o", "share": 9999999999'
                '}]}',
                'share: found 9999999999, allowed is a whole number of 32',
            ),
            (
                f'{HEAD}{{"intents": [{{"model": "m", "weigh": SOON}}]}}',
                "weigh: found 'SOON', allowed is one of",
            ),
            (
                f'{HEAD}{{"models": [{MODEL}], "intents": [{intent}]}}',
                'schema-contradiction.*v9.*declared version',
            ),
        )
        for text, message in cases:
            with (
                self.subTest(message),
                self.assertRaisesRegex(SchemaError, message),
            ):
                self.load(text)

    def test_missing_file(self) -> None:
        """A file that can't be read is refused."""
        with self.assertRaisesRegex(SchemaError, 'schema-unreadable'):
            schema.load('/no/such.thrift')


if __name__ == '__main__':
    unittest.main()
