"""Checks that a process imports only the roles it runs, to limit memory and start time."""

import subprocess
import sys
import unittest

_PRINT_MODULES_SCRIPT = """
import sys
import heronladder_platform.__main__
import heronladder_daemon.compose_{role}
print(" ".join(sorted(name for name in sys.modules if name.startswith("heronladder_"))))
"""


def _imported_modules(role: str) -> str:
    """Return the names of the heronladder modules that a process with a role imports."""
    command = [sys.executable, "-c", _PRINT_MODULES_SCRIPT.format(role=role)]
    return subprocess.run(command, check=True, capture_output=True, text=True, timeout=30).stdout


class RoleImportsTest(unittest.TestCase):
    def test_gateway_imports_no_control_agent_or_router_role(self) -> None:
        imported = _imported_modules("gateway")
        self.assertIn("heronladder_router.gateway_role", imported)
        for other in ("heronladder_control", "heronladder_agent", "heronladder_consensus"):
            self.assertNotIn(other, imported)
        self.assertNotIn("heronladder_router.leases", imported)

    def test_control_imports_no_gateway_or_agent(self) -> None:
        imported = _imported_modules("control")
        self.assertIn("heronladder_control.member", imported)
        self.assertNotIn("heronladder_agent", imported)
        self.assertNotIn("heronladder_router.gateway_role", imported)


if __name__ == "__main__":
    unittest.main()
