"""Hollow gateways and replicas of ``heronladder crowd``: messages to control only.

Each kind runs in processes of its own, a line of JSON a quarter of a second; a line on
standard input has all gateways begin anew, with no configuration, as after a kill.
"""

import asyncio
import json
import sys
import time
from pathlib import Path
from random import Random

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.rpc import GrpcStubs
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

from heronladder_tools.crowd_member import REGISTER_PATH

_LOOK_S = 0.25
_HEARTBEAT_S = 0.3
_REPLICA_BEAT_S = 1.2
_PATIENCE_S = 1.0  # of a replica for its answer
_LOADS = 24  # replicas at which a gateway has work
_DRAW_S = 0.5
TENANTS = 20
SERVICES = 8
ZONES = 3


class HollowGateway:
    """A gateway that only speaks with control, and holds tokens."""

    def __init__(self, name: str, addresses: list[str], source: Random) -> None:
        self._environment = Environment()
        self._source = source
        self._stubs = GrpcStubs()
        record = ledger_pb2.DaemonRecord(
            name=name,
            role="router",
            incarnation=self._environment.new_id(name),
            zone=f"z{source.randrange(ZONES)}",
            region="local",
            lending_address=f"{name}:1",
        )
        addresses = source.sample(addresses, len(addresses))
        self.link = ControlLink(
            record,
            addresses,
            self._stubs,
            _HEARTBEAT_S,
            ControlLinkHandlers(fill_heartbeat=self._fill),
            self._environment,
            acts_past_lease=True,
        )
        self.drawn = 0
        self._drawing: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Connect, and draw tokens."""
        self.link.start()
        self._drawing = asyncio.create_task(self._draw())

    async def kill(self) -> None:
        """End at once."""
        if self._drawing is not None:
            self._drawing.cancel()
        await self.link.abort()
        await self._stubs.close()

    def _fill(self, heartbeat: control_pb2.Heartbeat) -> None:
        replicas = self.link.configuration.replicas()
        for replica in self._source.sample(replicas, min(_LOADS, len(replicas))):
            load = heartbeat.replica_loads[replica.id]
            load.in_flight = self._source.randrange(1, 9)
            load.unread_tokens = self._source.randrange(9_000)

    async def _draw(self) -> None:
        while self.link.configuration.fleet() is None:
            await asyncio.sleep(_DRAW_S)
        tenants = self._source.sample(range(TENANTS), 3)
        for number in range(1, 10_000):
            command = control_pb2.Command()
            command.draw_tokens.tenant = f"t{tenants[number % 3]}"
            command.draw_tokens.holder = self.link.record.name
            command.draw_tokens.incarnation = self.link.record.incarnation
            command.draw_tokens.number = (number + 2) // 3
            command.draw_tokens.wanted = 100
            try:
                await self.link.call(command, 5.0)
                self.drawn += 1
            except HeronladderError:
                continue
            await asyncio.sleep(self._source.uniform(_DRAW_S, 20 * _DRAW_S))


class HollowReplica:
    """A replica's heartbeats over one kept connection."""

    def __init__(self, number: int, addresses: list[str], source: Random) -> None:
        self._addresses = addresses
        self._source = source
        self._told = resources_pb2.Replica(
            id=f"replica-{number}",
            service=f"s{number % SERVICES}",
            address=f"10.{number // 60_000}.{number // 250 % 250}.{number % 250}:8080",
            zone=f"z{number % ZONES}",
            software="v1",
            slots=64,
        )
        self.registered_s = 0.0
        self.beats = 0
        self.failures = 0
        self.slowest_s = 0.0

    async def run(self) -> None:
        """Beat for ever; go to another member after a failure."""
        await asyncio.sleep(self._source.random() * _REPLICA_BEAT_S)
        address, streams = "", None
        while True:
            began_s = time.monotonic()
            self._told.sequence += 1
            try:
                if streams is None:
                    address = address or self._source.choice(self._addresses)
                    host, _, port = address.rpartition(":")
                    async with asyncio.timeout(_PATIENCE_S):
                        streams = await asyncio.open_connection(host, int(port))
                async with asyncio.timeout(_PATIENCE_S):
                    named = await self._beat(*streams)
                self.beats += 1
                self.registered_s = self.registered_s or time.time()
                self.slowest_s = max(self.slowest_s, time.monotonic() - began_s)
            except (OSError, EOFError, TimeoutError, ValueError):
                self.failures += 1
                named = ""
            if (not named or named != address) and streams is not None:
                streams[1].close()
                streams = None
            address = named
            await asyncio.sleep(max(0.05, _REPLICA_BEAT_S - (time.monotonic() - began_s)))

    async def _beat(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        body = self._told.SerializeToString()
        head = f"POST {REGISTER_PATH} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(answer.partition("content-length: ")[2].partition("\r\n")[0])
        named = (await reader.readexactly(length)).decode()
        if not answer.startswith("http/1.1 200"):
            raise ValueError(answer)
        return named


async def run_gateways(folder: Path, first: int, count: int, replicas: int) -> None:
    """Run hollow gateways until standard input ends."""
    document = json.loads((folder / "members.json").read_text())
    source = Random(first)

    def begin() -> list[HollowGateway]:
        names = [f"gateway-{number}" for number in range(first, first + count)]
        made = [HollowGateway(name, document["grpc"], source) for name in names]
        for gateway in made:
            gateway.start()
        return made

    gateways = begin()
    reader = await _standard_input()
    asked = asyncio.create_task(reader.readline())
    while True:
        await asyncio.sleep(_LOOK_S)
        if asked.done():
            word = asked.result().strip()
            if not word:
                return
            if word == b"kill":
                for gateway in gateways:
                    await gateway.kill()
                gateways = []
            else:
                gateways = begin()
            asked = asyncio.create_task(reader.readline())
        stores = [gateway.link.configuration for gateway in gateways]
        line = {
            "t": time.time(),
            "gateways": len(gateways),
            "fresh": sum(gateway.link.fresh for gateway in gateways),
            "configured": sum(store.fleet() is not None for store in stores),
            "whole": sum(len(store.replicas()) >= replicas for store in stores),
            "received": sum(gateway.link.bytes_received for gateway in gateways),
            "drawn": sum(gateway.drawn for gateway in gateways),
        }
        print(json.dumps(line), flush=True)


async def run_replicas(folder: Path, first: int, count: int) -> None:
    """Run hollow replicas until standard input ends."""
    document = json.loads((folder / "members.json").read_text())
    source = Random(first)
    made = [HollowReplica(n, document["replicas"], source) for n in range(first, first + count)]
    tasks = [asyncio.create_task(replica.run()) for replica in made]
    reader = await _standard_input()
    ended = asyncio.create_task(reader.readline())
    while not ended.done():
        await asyncio.sleep(_LOOK_S)
        line = {
            "t": time.time(),
            "registered": sum(replica.registered_s > 0 for replica in made),
            "beats": sum(replica.beats for replica in made),
            "failures": sum(replica.failures for replica in made),
            "slowest_ms": round(1000 * max(replica.slowest_s for replica in made)),
        }
        for replica in made:
            replica.slowest_s = 0.0
        print(json.dumps(line), flush=True)
    for task in tasks:
        task.cancel()


async def _standard_input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader
