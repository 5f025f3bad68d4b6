"""A process loads only the roles it runs: memory and the time to start are paid for."""

import subprocess
import sys
import unittest

_SCRIPT = """
import sys
import heronladder_platform.__main__
import heronladder_daemon.compose_{role}
print(" ".join(sorted(name for name in sys.modules if name.startswith("heronladder_"))))
"""


def _loaded(role: str) -> str:
    """Return the names of our modules that a process of a role has loaded."""
    command = [sys.executable, "-c", _SCRIPT.format(role=role)]
    return subprocess.run(command, check=True, capture_output=True, text=True, timeout=30).stdout


class RoleImportsTest(unittest.TestCase):
    def test_a_gateway_loads_neither_control_nor_agent_nor_the_other_router(self) -> None:
        loaded = _loaded("gateway")
        self.assertIn("heronladder_router.gateway_role", loaded)
        for other in ("heronladder_control", "heronladder_agent", "heronladder_consensus"):
            self.assertNotIn(other, loaded)
        self.assertNotIn("heronladder_router.leases", loaded)

    def test_control_loads_neither_gateway_nor_agent(self) -> None:
        loaded = _loaded("control")
        self.assertIn("heronladder_control.member", loaded)
        self.assertNotIn("heronladder_agent", loaded)
        self.assertNotIn("heronladder_router.gateway_role", loaded)


if __name__ == "__main__":
    unittest.main()
