"""Base of test cases that run daemons on the test's own loop and judge how long they take."""

import asyncio
import unittest


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Runs the loop without asyncio's debug mode, as daemons do.

    ``IsolatedAsyncioTestCase`` enables debug mode, which records a stack for each callback. Daemons
    then take about twice the processor time, and a loop that carries a whole fleet runs late.
    """

    async def asyncSetUp(self) -> None:
        """Disable debug mode; subclasses call this first."""
        asyncio.get_running_loop().set_debug(False)
