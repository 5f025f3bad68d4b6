"""Commands that evacuate a zone and take that back."""

from typing import Annotated, Any

import typer
from heronladder_runtime.configuration import EVACUATION_KIND
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.manifests import FIELD_KINDS
from heronladder_schema.v1 import resources_pb2

from heronladder_tools.operator_client import OperatorClient
from heronladder_tools.operator_commands import DEFAULT_API, Api, Token, make_client, run_command

_KIND = FIELD_KINDS[EVACUATION_KIND]
_WAIT_S = 10.0

Zone = Annotated[str, typer.Argument(help="name of the zone")]


def evacuate(zone: Zone, api: Api = DEFAULT_API, token: Token = "") -> None:
    """Send nothing more to the replicas of a zone; what runs there goes on to its end."""
    run_command(_set(make_client(api, token), zone, ended=False))


def restore(zone: Zone, api: Api = DEFAULT_API, token: Token = "") -> None:
    """Take an evacuation back; the zone's replicas are taken for cold at first."""
    run_command(_set(make_client(api, token), zone, ended=True))


async def _set(client: OperatorClient, zone: str, *, ended: bool) -> None:
    """Write the zone's evacuation, unless it stands so already."""
    word = "restored" if ended else "evacuated"
    known = await client.get(_KIND, zone)
    if known is None and ended:
        raise HeronladderError(f"zone {zone} is not evacuated", step="restore", peer=zone)
    if known is not None and bool(known["spec"].get("ended")) == ended:
        print(f"zone {zone} is {word} already")
        return
    if not ended:
        await _warn_of_services_left(client, zone)
    resource = resources_pb2.Resource()
    resource.metadata.name = zone
    resource.evacuation.ended = ended
    version = int(known["metadata"].get("version", 0)) if known is not None else 0
    changed = await client.put(resource, version, _WAIT_S)
    if not changed["status"]["inForce"]:
        raise HeronladderError(
            "the order is accepted, not yet in force everywhere; 'heronladder status' names who"
            " holds it up",
            step=word,
            peer=zone,
        )
    print(f"zone {zone} {word}, in force")


async def _warn_of_services_left(client: OperatorClient, zone: str) -> None:
    """Name the services that would have no replica left."""
    evacuated = {zone}
    for manifest in await client.list(_KIND):
        if not manifest["spec"].get("ended"):
            evacuated.add(str(manifest["metadata"]["name"]))
    serving: dict[str, bool] = {}
    for manifest in await client.list("Replica"):
        replica: dict[str, Any] = manifest["spec"]
        if replica.get("gone") or replica.get("draining"):
            continue
        elsewhere = replica.get("zone", "") not in evacuated
        serving[replica["service"]] = serving.get(replica["service"], False) or elsewhere
    if zone not in {str(m["spec"].get("zone", "")) for m in await client.list("Replica")}:
        print(f"note: no replica is registered in zone {zone}")
    for service in sorted(name for name, serves in serving.items() if not serves):
        print(f"note: service {service} has no replica left; its requests will be refused")
