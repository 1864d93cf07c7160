"""The platform's list lags, and can only make a VM leave."""

import unittest

from linnetwood.core.options import Gossiping
from linnetwood.fleet.members import Health, copy
from linnetwood.fleet.membership import Membership
from linnetwood.fleet.vmlist import leaving_records
from tests.test_membership import member


class VmListTest(unittest.TestCase):
    """Who is told to leave, and what it says then."""

    def test_only_known_living_vms_are_told(self) -> None:
        """A VM that is unknown, dead or leaving already is not told."""
        known = {
            'a': member('a'),
            'b': member('b', status=int(Health.DEAD)),
            'c': member('c', status=int(Health.LEAVING)),
        }
        listed = frozenset(('a', 'b', 'c', 'd'))
        told = [one.vm for one in leaving_records(known, listed)]
        self.assertEqual(told, ['a'])

    def test_told_process_says_that_it_leaves(self) -> None:
        """A process told to leave says so itself, in a newer statement."""
        node = Membership(member('a'), Gossiping(), 0)
        order = copy(node.own_record, status=int(Health.LEAVING))
        answer = node.receive(order, 0)
        assert answer is not None
        self.assertEqual((answer.status, answer.version), (Health.LEAVING, 2))

    def test_late_list_does_not_reach_a_new_process(self) -> None:
        """What was said of an earlier incarnation changes nothing."""
        node = Membership(member('a', incarnation=2), Gossiping(), 0)
        old = member('a', status=int(Health.LEAVING))
        self.assertIsNone(node.receive(old, 0))
        self.assertEqual(node.own_record.status, Health.ALIVE)


if __name__ == '__main__':
    unittest.main()
