"""Tests of gRPC's poller in a busy event loop and at the garbage collection of a server.

A daemon that ended as in a crash left its gRPC server running. When the server was garbage
collected, gRPC shut its poller down and joined the poller's thread within the collection, while the
thread waited for calls that the server still expected: the process blocked forever. The main
thread's stack showed "join (threading.py)" below "create_task", in code unrelated to gRPC.
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

_TIMEOUT_S = 20.0  # the program itself takes less than a second
_ABANDONED_SERVER_PROGRAM = """
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


_CALLS = 400  # about 280 unread wake-up bytes block gRPC's thread
_ITERATION_S = 0.005
_MAX_ITERATIONS = 200  # one iteration for each completion would be over 800


class _SimultaneousResponses(ConsensusServicer):
    """Answers all calls at the same time."""

    def __init__(self) -> None:
        self.arrived = 0
        self.answer = asyncio.Event()

    async def Hello(self, request: Any, context: Any) -> consensus_pb2.HelloReply:
        self.arrived += 1
        await self.answer.wait()
        return consensus_pb2.HelloReply()


class CompletionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.service = _SimultaneousResponses()
        self.server: grpc.aio.Server = make_server()
        add_ConsensusServicer_to_server(self.service, self.server)
        port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, None)
        stubs = GrpcStubs()
        self.addAsyncCleanup(stubs.close)
        self.stub = stubs.consensus(f"127.0.0.1:{port}")

    async def test_simultaneous_responses_take_few_iterations_of_a_busy_loop(self) -> None:
        """gRPC's thread blocked in a write, and each iteration processed one completion."""
        calls = [
            asyncio.ensure_future(self.stub.Hello(consensus_pb2.HelloRequest()))
            for _ in range(_CALLS)
        ]
        while self.service.arrived < _CALLS:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)  # the wake-up bytes of the calls are read
        self.service.answer.set()
        iterations = 0
        while not all(call.done() for call in calls):
            iterations += 1
            _block_loop()
            await asyncio.sleep(0)
        self.assertLess(iterations, _MAX_ITERATIONS)


def _block_loop() -> None:
    time.sleep(_ITERATION_S)


class PollerTest(unittest.TestCase):
    def test_garbage_collection_of_a_running_server_does_not_block(self) -> None:
        process = subprocess.run(
            [sys.executable, "-c", _ABANDONED_SERVER_PROGRAM],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        self.assertIn("collected", process.stdout, process.stderr)


if __name__ == "__main__":
    unittest.main()
