"""The era that answers of the platform's store name in a header."""

import unittest

from linnetwood.core.events import Event
from linnetwood.fleet.revisions import MAX_ERA
from linnetwood.platform.storeera import StoreEra

HEADER = 'Store-Era'
# Values that name no era.
UNREADABLE = ('', '-1', 'two', '1.5', '1e3', '0x1', '²', '1 2', '1,2', '9' * 9)


class StoreEraTest(unittest.TestCase):
    """Read the header of each answer, and trust no malformed one."""

    def read(self, era: StoreEra, *texts: str) -> int:
        """Return the era of an answer whose headers hold these values."""
        return era.read([(HEADER, text) for text in texts])

    def test_eras_rise_with_the_header(self) -> None:
        """An earlier era is returned as it is, and the newest stays known."""
        era = StoreEra()
        self.assertEqual(self.read(era, '3'), 3)
        self.assertEqual(self.read(era, ' 4 '), 4)
        self.assertEqual(self.read(era, '3'), 3)
        self.assertEqual(era.newest, 4)
        self.assertEqual(era.read([('store-era', '5')]), 5)
        self.assertEqual(self.read(era, str(MAX_ERA)), MAX_ERA)

    def test_an_unreadable_header_counts_as_the_known_era(self) -> None:
        """Nothing fails on it, whatever it holds, and it is logged once."""
        for text in (*UNREADABLE, str(MAX_ERA + 1)):
            with self.subTest(text=text):
                era = StoreEra()
                self.read(era, '2')
                with self.assertLogs('linnetwood') as logged:
                    self.assertEqual(self.read(era, text), 2)
                    self.assertEqual(self.read(era, text), 2)
                events = [line.__dict__['event'] for line in logged.records]
                self.assertEqual(events, [Event.STORE_ERA_UNREADABLE])

    def test_a_header_given_twice(self) -> None:
        """The same era twice is an era, two different ones are none."""
        era = StoreEra()
        self.assertEqual(self.read(era, '2', '2'), 2)
        self.assertEqual(self.read(era, '3', '4'), 2)
        self.assertEqual(era.newest, 2)

    def test_a_missing_header(self) -> None:
        """A store without eras has none; later on, the known era holds."""
        era = StoreEra()
        self.assertEqual(self.read(era), 0)
        self.read(era, '7')
        self.assertEqual(self.read(era), 7)

    def test_a_change_is_logged_once(self) -> None:
        """One line tells which era follows which."""
        era = StoreEra()
        with self.assertLogs('linnetwood') as logged:
            for text in ('1', '1', '2', '1', '2'):
                self.read(era, text)
        lines = [line.__dict__ for line in logged.records]
        self.assertEqual(
            [(line['known_era'], line['era']) for line in lines],
            [(0, 1), (1, 2)],
        )


if __name__ == '__main__':
    unittest.main()
