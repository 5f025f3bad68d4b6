"""Tests of the status document that operators see."""

import unittest

from control_group import ControlGroup
from heronladder_control.status import status_document
from platform_stand_ins import settings_document


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_group_and_the_region_of_a_member_are_separate_fields(self) -> None:
        """The group's name must not be shown as the region: members may be in several regions."""
        group = ControlGroup(1)
        await group.start()
        self.addAsyncCleanup(group.stop)
        member = group.running[0].control
        assert member is not None
        document = status_document(member)
        region = settings_document("core", "", 1, {})["region"]
        self.assertNotEqual(member.options.group, region)
        self.assertEqual((document["group"], document["region"]), (member.options.group, region))


if __name__ == "__main__":
    unittest.main()
