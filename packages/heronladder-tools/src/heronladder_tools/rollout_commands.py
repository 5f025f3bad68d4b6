"""Commands that move a service to another version."""

from typing import Annotated, Any

import typer
from heronladder_runtime.configuration import ROLLOUT_KIND
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.manifests import FIELD_KINDS
from heronladder_schema.v1 import resources_pb2

from heronladder_tools.operator_client import OperatorClient
from heronladder_tools.operator_commands import DEFAULT_API, Api, Token, make_client, run_command

_KIND = FIELD_KINDS[ROLLOUT_KIND]
_WAIT_S = 10.0
_MS = 1000

rollout_application = typer.Typer(help="Move a service to another version, or back.")
Service = Annotated[str, typer.Argument(help="name of the service")]
Version = Annotated[str, typer.Argument(help="version of its replicas' software")]
Within = Annotated[float, typer.Option(help="seconds within which it is to take over")]


@rollout_application.command()
def start(
    service: Service,
    version: Version,
    within: Within = 60.0,
    api: Api = DEFAULT_API,
    token: Token = "",
) -> None:
    """Move a service to a version; it goes back by itself if the version is bad."""
    run_command(_start(make_client(api, token), service, version, within))


@rollout_application.command()
def status(service: Service, api: Api = DEFAULT_API, token: Token = "") -> None:
    """Show the newest roll-out of a service."""
    run_command(_status(make_client(api, token), service))


@rollout_application.command()
def back(service: Service, api: Api = DEFAULT_API, token: Token = "") -> None:
    """Send a roll-out that runs back."""
    run_command(_back(make_client(api, token), service))


def _resource(service: str, rollout: resources_pb2.Rollout) -> resources_pb2.Resource:
    resource = resources_pb2.Resource(rollout=rollout)
    resource.metadata.name = service
    return resource


async def _start(client: OperatorClient, service: str, version: str, within_s: float) -> None:
    wanted = resources_pb2.Rollout(target=version, duration_ms=int(within_s * _MS))
    changed = await client.put(_resource(service, wanted), 0, _WAIT_S)
    _require_in_force(changed, service)
    print(f"{service}: {_line(changed['spec'])}, in force")


async def _status(client: OperatorClient, service: str) -> None:
    known = await client.get(_KIND, service)
    if known is None:
        raise HeronladderError(f"there was no roll-out of {service}", step="status", peer=service)
    print(f"{service}: {_line(known['spec'])}")


async def _back(client: OperatorClient, service: str) -> None:
    wanted = resources_pb2.Rollout(phase=resources_pb2.ROLLOUT_PHASE_ROLLED_BACK)
    changed = await client.put(_resource(service, wanted), 0, _WAIT_S)
    _require_in_force(changed, service)
    print(f"{service}: {_line(changed['spec'])}, in force")


def _line(spec: dict[str, Any]) -> str:
    phase = str(spec.get("phase", "ROLLOUT_PHASE_UNORDERED")).removeprefix("ROLLOUT_PHASE_")
    target = spec.get("target") or spec.get("newcomer", "")
    admitted = ",".join(spec.get("admitted", []))
    return f"{target} {phase.lower()} ({spec.get('reason', '')}); admitted: {admitted}"


def _require_in_force(changed: dict[str, Any], service: str) -> None:
    if not changed["status"]["inForce"]:
        raise HeronladderError(
            "the order is accepted, not yet in force everywhere; 'heronladder status' names who"
            " holds it up",
            step="rollout",
            peer=service,
        )
