"""Patches between two versions of a payload, and how they are sent."""

import unittest

from hypothesis import given, strategies

from linnetwood.core.errors import CodecError
from linnetwood.fleet.mirror import LARGE_BYTES, Mirror
from linnetwood.fleet.patches import Patch, apply_patch, make_patch
from linnetwood.fleet.rangecodec import pack, unpack
from linnetwood.fleet.ranges import Change, Record, Snapshot
from tests.test_narrow_regions import configuration

MAX_BYTES = 1000000
rows = strategies.lists(strategies.sampled_from([b'{a', b'{b', b'c', b'{']))
payloads = rows.map(b''.join) | strategies.binary(max_size=60)


def mirror_of(*payloads: bytes) -> Mirror:
    """Return a mirror to which one key was written again and again."""
    mirror = Mirror()
    mirror.replace_all(Snapshot({'k': Record(payloads[0], 1)}, 1), 0)
    for revision, payload in enumerate(payloads[1:], 2):
        changes = (Change('k', Record(payload, revision)),)
        mirror.apply_changes(changes, revision, 0)
    return mirror


class PatchTest(unittest.TestCase):
    """Turn an older payload into a newer one."""

    @given(payloads, payloads)
    def test_it_gives_the_newer_payload(self, old: bytes, new: bytes) -> None:
        """A patch works for any two payloads."""
        self.assertEqual(apply_patch(old, make_patch(old, new), MAX_BYTES), new)

    def test_a_small_change_is_small(self) -> None:
        """One changed route of 1,900 takes less than 1,500 bytes."""
        patch = make_patch(configuration(2), configuration(3))
        self.assertLess(len(patch.added) + 4 * len(patch.runs), 1500)

    @given(
        payloads,
        strategies.lists(strategies.integers(-9, 9), max_size=9),
        strategies.binary(max_size=9),
        strategies.integers(0, 9),
    )
    def test_malformed_patches_are_refused(
        self,
        old: bytes,
        runs: list[int],
        added: bytes,
        check: int,
    ) -> None:
        """They raise CodecError, or by chance the checksum is right."""
        try:
            payload = apply_patch(old, Patch(runs, added, check), 30)
        except CodecError:
            return
        self.assertLessEqual(len(payload), 30 + len(added))


class EncodingTest(unittest.TestCase):
    """Send a large payload to receivers that hold another version of it."""

    def setUp(self) -> None:
        self.old = configuration(1)
        self.new = configuration(2)
        self.change = Change('k', Record(self.new, 2))

    def test_against_what_is_held(self) -> None:
        """A patch is sent, and the payload results from it."""
        packed = pack([self.change], {'k': 1}, mirror_of(self.old, self.new))
        self.assertLess(len(packed), LARGE_BYTES / 8)
        found = list(unpack(packed, 0, mirror_of(self.old)))
        self.assertEqual(
            [change.record for change in found], [self.change.record]
        )

    def test_against_what_the_sender_has_forgotten(self) -> None:
        """The whole payload is sent."""
        packed = pack([self.change], {'k': 1}, mirror_of(b'', self.new))
        found = list(unpack(packed, 0))
        self.assertEqual(
            [change.record for change in found], [self.change.record]
        )

    def test_against_what_the_receiver_has_forgotten(self) -> None:
        """The update raises CodecError, and the receiver reconnects."""
        packed = pack([self.change], {'k': 1}, mirror_of(self.old, self.new))
        for mirror in (None, mirror_of(b'', self.new)):
            with self.assertRaises(CodecError):
                tuple(unpack(packed, 0, mirror))

    def test_a_few_versions_are_kept(self) -> None:
        """Four versions before the newest, also after a read of the range."""
        versions = [configuration(number, 100) for number in range(6)]
        mirror = mirror_of(*versions[:5])
        mirror.replace_all(Snapshot({'k': Record(versions[5], 6)}, 6), 0)
        kept = [mirror.payload_at('k', revision) for revision in range(1, 7)]
        self.assertEqual(kept, [None, *versions[1:]])
        self.assertEqual(mirror.held_revisions(), {'k': 6})


if __name__ == '__main__':
    unittest.main()
