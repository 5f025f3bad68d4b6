"""What operators see of a group."""

import unittest

from control_group import ControlGroup
from heronladder_control.status import status_document
from platform_stand_ins import settings_document


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_group_and_the_region_of_a_member_are_separate_fields(self) -> None:
        """The group's name stood for the region, also where its members stand in several."""
        group = ControlGroup(1)
        await group.start()
        self.addAsyncCleanup(group.stop)
        member = group.running[0].control
        assert member is not None
        document = status_document(member)
        place = settings_document("core", "", 1, {})["region"]
        self.assertNotEqual(member.options.group, place)
        self.assertEqual((document["group"], document["region"]), (member.options.group, place))


if __name__ == "__main__":
    unittest.main()
