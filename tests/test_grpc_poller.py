"""A process whose gRPC server was not stopped stood still for good, now and then.

A daemon that ended as in a crash left its server as it was. When that was collected later on, gRPC
ended its poller and joined the poller's thread from within the collection; the thread waited for
calls that the server still expected. The main thread's stack was «join (threading.py)» below
«create_task», in work that had nothing to do with gRPC.
"""

import asyncio
import subprocess
import sys
import time
import unittest
from typing import Any

import grpc.aio
from heronladder_runtime.rpc import GrpcStubs, make_server
from heronladder_schema.v1 import consensus_pb2
from heronladder_schema.v1.consensus_pb2_grpc import (
    ConsensusServicer,
    add_ConsensusServicer_to_server,
)

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


_CALLS = 400  # some 280 unread wake-ups stop gRPC's thread
_TURN_S = 0.005
_MOST_TURNS = 200  # one a completion were over 800


class _Together(ConsensusServicer):
    """Answers all calls at the same moment."""

    def __init__(self) -> None:
        self.came = 0
        self.answer = asyncio.Event()

    async def Hello(self, request: Any, context: Any) -> consensus_pb2.HelloReply:
        self.came += 1
        await self.answer.wait()
        return consensus_pb2.HelloReply()


class CompletionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.service = _Together()
        self.server: grpc.aio.Server = make_server()
        add_ConsensusServicer_to_server(self.service, self.server)
        port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, None)
        stubs = GrpcStubs()
        self.addAsyncCleanup(stubs.close)
        self.stub = stubs.consensus(f"127.0.0.1:{port}")

    async def test_answers_that_come_together_take_few_turns_of_a_busy_loop(self) -> None:
        """gRPC's thread stood still in a write, and one completion a turn was taken in."""
        calls = [
            asyncio.ensure_future(self.stub.Hello(consensus_pb2.HelloRequest()))
            for _ in range(_CALLS)
        ]
        while self.service.came < _CALLS:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)  # what woke the loop for that is read
        self.service.answer.set()
        turns = 0
        while not all(call.done() for call in calls):
            turns += 1
            _be_busy()
            await asyncio.sleep(0)
        self.assertLess(turns, _MOST_TURNS)


def _be_busy() -> None:
    time.sleep(_TURN_S)


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
