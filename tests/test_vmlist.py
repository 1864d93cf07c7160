"""The platform's VM list lags; it can only make a VM leave."""

import unittest

from linnetwood.core.options import GossipOptions
from linnetwood.fleet.members import Health, copy
from linnetwood.fleet.membership import Membership
from linnetwood.fleet.vmlist import leaving_records
from tests.test_membership import member


class VmListTest(unittest.TestCase):
    """Which VMs are told to leave, and which record they then announce."""

    def test_only_alive_members_are_told(self) -> None:
        """A VM that is unknown, dead or already leaving is not told."""
        known = {
            'a': member('a'),
            'b': member('b', status=int(Health.DEAD)),
            'c': member('c', status=int(Health.LEAVING)),
        }
        listed = frozenset(('a', 'b', 'c', 'd'))
        told = [record.vm for record in leaving_records(known, listed)]
        self.assertEqual(told, ['a'])

    def test_told_process_announces_that_it_leaves(self) -> None:
        """A process told to leave announces it itself in a newer record."""
        membership = Membership(member('a'), GossipOptions(), 0)
        order = copy(membership.own_record, status=int(Health.LEAVING))
        record = membership.receive(order, 0)
        assert record is not None
        self.assertEqual((record.status, record.version), (Health.LEAVING, 2))

    def test_late_list_does_not_reach_a_new_process(self) -> None:
        """A leaving record of an earlier incarnation changes nothing."""
        membership = Membership(member('a', incarnation=2), GossipOptions(), 0)
        old = member('a', status=int(Health.LEAVING))
        self.assertIsNone(membership.receive(old, 0))
        self.assertEqual(membership.own_record.status, Health.ALIVE)


if __name__ == '__main__':
    unittest.main()
