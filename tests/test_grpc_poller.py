"""A process whose gRPC server was not stopped stood still for good, now and then.

A daemon that ended as in a crash left its server as it was. When that was collected later on, gRPC
ended its poller and joined the poller's thread from within the collection; the thread waited for
calls that the server still expected. The main thread's stack was «join (threading.py)» below
«create_task», in work that had nothing to do with gRPC.
"""

import subprocess
import sys
import unittest

_PATIENCE_S = 20.0  # the work itself takes less than one
_LEAVES_A_SERVER = """
import asyncio, gc
from heronladder_runtime.rpc import make_server

async def serve():
    server = make_server()
    server.add_insecure_port("127.0.0.1:0")
    await server.start()
    for _ in range(2):
        await asyncio.sleep(0.05)
    return server

async def cancel_all():
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(0)

loop = asyncio.new_event_loop()
server = loop.run_until_complete(serve())
loop.run_until_complete(cancel_all())
loop.close()
del server
gc.collect()
print("collected")
"""


class PollerTest(unittest.TestCase):
    def test_collecting_a_server_that_was_not_stopped_does_not_block(self) -> None:
        process = subprocess.run(
            [sys.executable, "-c", _LEAVES_A_SERVER],
            capture_output=True,
            text=True,
            timeout=_PATIENCE_S,
            check=False,
        )
        self.assertIn("collected", process.stdout, process.stderr)


if __name__ == "__main__":
    unittest.main()
