"""Commands of operators: get, apply, delete, watch, status, members."""

import asyncio
import difflib
import json
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.manifests import (
    FIELD_KINDS,
    ManifestError,
    field_of_kind,
    kind_of,
    parse_manifests,
    to_json,
    to_manifest,
    to_yaml,
)
from heronladder_schema.v1 import resources_pb2

from heronladder_tools.operator_client import ApiError, OperatorClient
from heronladder_tools.tables import format_table

_EXIT_REFUSED = 1
_EXIT_BAD_INPUT = 2
_WAIT_S = 30.0

Api = Annotated[
    str,
    typer.Option(
        envvar="HERONLADDER_API", help="IP:port of members' resource API, with commas between"
    ),
]
Token = Annotated[str, typer.Option(envvar="HERONLADDER_TOKEN", help="operator's token")]
Output = Annotated[str, typer.Option("--output", "-o", help="table, yaml or json")]
Result = TypeVar("Result")

DEFAULT_API = "127.0.0.1:7701"


def make_client(api: str, token: str) -> OperatorClient:
    """Return a client of the members at addresses with commas between."""
    return OperatorClient([address for address in api.split(",") if address], token)


def run_command(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a command; errors become one clear line each, and an exit code."""
    try:
        return asyncio.run(work)
    except ManifestError as error:
        for field in error.errors:
            place = f"{error.peer}: " if error.peer else ""
            print(f"{place}{field.field}: {field.message}", file=sys.stderr)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    except ApiError as error:
        print(f"refused ({error.status}): {error.message}", file=sys.stderr)
        for field in error.document.get("fields", []):
            print(f"  {field['field']}: {field['message']}", file=sys.stderr)
        if error.document.get("currentVersion"):
            print(f"  current version {error.document['currentVersion']}", file=sys.stderr)
        raise typer.Exit(_EXIT_REFUSED) from error
    except HeronladderError as error:
        print(str(error), file=sys.stderr)
        raise typer.Exit(_EXIT_REFUSED) from error


def _show(manifests: list[dict[str, Any]], output: str) -> None:
    if output == "yaml":
        print(to_yaml(manifests), end="")
    elif output == "json":
        print(to_json(manifests))
    elif output == "table":
        rows = [
            [
                manifest["kind"],
                manifest["metadata"]["name"],
                str(manifest["metadata"].get("version", "")),
                "yes" if manifest.get("status", {}).get("inForce") else "no",
                _summary(manifest["spec"]),
            ]
            for manifest in manifests
        ]
        print(format_table(["kind", "name", "version", "in force", "spec"], rows))
    else:
        raise typer.BadParameter(f"--output {output}: choose table, yaml or json")


def _summary(spec: dict[str, Any]) -> str:
    hidden = ("keySha256",)
    text = " ".join(f"{key}={value}" for key, value in spec.items() if key not in hidden)
    return text if len(text) <= 70 else text[:67] + "..."


def get(
    kind: str,
    name: Annotated[str, typer.Argument(help="name; without one: all of the kind")] = "",
    api: Api = DEFAULT_API,
    token: Token = "",
    output: Output = "table",
) -> None:
    """Show one resource, or all of a kind."""

    async def work() -> None:
        client = make_client(api, token)
        if not name:
            _show(await client.list(kind), output)
            return
        found = await client.get(kind, name)
        if found is None:
            raise HeronladderError(f"there is no {kind} {name}", step="get", peer=name)
        _show([found], output)

    run_command(work())


def read_files(files: list[Path]) -> list[resources_pb2.Resource]:
    """Return all resources that files declare; ``-`` stands for standard input.

    Raises:
        ManifestError: Naming file, document and field.
        HeronladderError: If a file cannot be read.
    """
    found = []
    for path in files:
        try:
            text = sys.stdin.read() if str(path) == "-" else path.read_text()
        except OSError as error:
            raise HeronladderError(str(error), step="read_manifest", peer=str(path)) from error
        found.extend(parse_manifests(text, str(path)))
    return found


def _difference(known: dict[str, Any] | None, resource: resources_pb2.Resource) -> list[str]:
    """Return what applying a resource would change, as lines of a diff."""
    before = to_yaml([known["spec"]]).splitlines() if known is not None else []
    after = to_yaml([to_manifest(resource)["spec"]]).splitlines()
    label = f"{FIELD_KINDS[kind_of(resource)]}/{resource.metadata.name}"
    lines = difflib.unified_diff(before, after, f"{label} now", f"{label} then", lineterm="", n=1)
    return list(lines)


def apply(
    files: Annotated[list[Path], typer.Argument(help="manifests; - for standard input")],
    api: Api = DEFAULT_API,
    token: Token = "",
    dry_run: Annotated[bool, typer.Option("--dry-run", help="show the changes only")] = False,
    wait: Annotated[bool, typer.Option(help="wait until each change is in force")] = False,
) -> None:
    """Declare resources: show what changes, then change it."""

    async def work() -> None:
        client = make_client(api, token)
        for resource in read_files(files):
            await _apply_one(client, resource, dry_run=dry_run, wait=wait)

    run_command(work())


async def _apply_one(
    client: OperatorClient, resource: resources_pb2.Resource, *, dry_run: bool, wait: bool
) -> None:
    kind = FIELD_KINDS[kind_of(resource)]
    name = resource.metadata.name
    known = await client.get(kind, name)
    difference = _difference(known, resource)
    if not difference:
        print(f"{kind}/{name} unchanged")
        return
    print("\n".join(difference))
    if dry_run:
        return
    # The version that the diff was made against: a change in between is refused.
    seen = int(known["metadata"].get("version", 0)) if known is not None else 0
    version = resource.metadata.version or seen
    changed = await client.put(resource, version, _WAIT_S if wait else 0.0)
    state = "in force" if changed["status"]["inForce"] else "accepted, not yet in force everywhere"
    print(f"{kind}/{name} version {changed['metadata']['version']} {state}")
    if wait and not changed["status"]["inForce"]:
        raise HeronladderError(
            "the change is not in force yet; 'heronladder status' names who holds it up",
            step="apply",
            peer=name,
        )


def delete(
    kind: str,
    name: str,
    api: Api = DEFAULT_API,
    token: Token = "",
    version: Annotated[int, typer.Option(help="delete only this version; 0: any")] = 0,
) -> None:
    """Delete a resource that nothing refers to."""

    async def work() -> None:
        path = f"/v1/{FIELD_KINDS[field_of_kind(kind)]}/{name}"
        query = {"version": str(version)} if version else {}
        await make_client(api, token).call("DELETE", path, query=query)
        print(f"{kind}/{name} deleted")

    run_command(work())


def watch(
    kind: Annotated[str, typer.Argument(help="kind; without one: all")] = "",
    revision: Annotated[int, typer.Option("--from", help="show what came after it")] = 0,
    api: Api = DEFAULT_API,
    token: Token = "",
    count: Annotated[int, typer.Option(help="stop after so many changes; 0: never")] = 0,
) -> None:
    """Show changes as they come into force, one JSON document a line."""

    async def work() -> None:
        field = FIELD_KINDS[field_of_kind(kind)] if kind else ""
        shown = 0
        async for event in make_client(api, token).watch(revision, field):
            if event["type"] == "bookmark":
                continue
            print(json.dumps(event), flush=True)
            shown += 1
            if count and shown >= count:
                return

    run_command(work())


def _version(known: int | None) -> str:
    """Return the cluster version that a build supports, as tables show it."""
    return "?" if known is None else str(known)


def status(api: Api = DEFAULT_API, token: Token = "", output: Output = "table") -> None:
    """Show members, daemons, who is behind, and what holds a change up."""
    document = run_command(make_client(api, token).call("GET", "/v1/status"))
    if output == "json":
        print(json.dumps(document, indent=2))
        return
    print(
        f"group {document['group']}  region {document['region']}  "
        f"leader {document['leader']}  term {document['term']}  "
        f"committed {document['committedRevision']}  in force {document['inForceRevision']}"
    )
    print(f"cluster version {document['clusterVersion']}")
    if document["versionHeldUpBy"]:
        print(f"it is not raised for: {', '.join(document['versionHeldUpBy'])}")
    if document["heldUpBy"]:
        print(f"changes are held up by: {', '.join(document['heldUpBy'])}")
    members = [
        [
            member["name"],
            member["address"],
            "voter" if member["voter"] else "learner",
            str(member["lag"]),
            "yes" if member["reachable"] else "NO",
            _version(member["highestVersion"]),
        ]
        for member in document["members"]
    ]
    titles = ["member", "address", "role", "lag", "reachable", "highest version"]
    print(format_table(titles, members))
    daemons = [
        [
            daemon["name"],
            daemon["role"],
            daemon["zone"],
            "gone" if daemon["gone"] else "fresh" if daemon["fresh"] else "STALE",
            str(daemon["appliedRevision"]),
            "behind" if daemon["behind"] and not daemon["gone"] else "",
        ]
        for daemon in document["daemons"]
    ]
    print(format_table(["daemon", "role", "zone", "state", "applied", ""], daemons))
    for collection in document["collections"]:
        awaited = ", ".join(collection["awaitedAgents"])
        print(f"leases of {collection['router']} wait for: {awaited}")


members_application = typer.Typer(no_args_is_help=True, help="Members of the control group.")


def _print_members(document: dict[str, Any]) -> None:
    rows = [
        [
            member["name"],
            member["address"],
            "voter" if member.get("voter") else "learner",
            "leader" if member["name"] == document["leader"] else "",
            _version(member.get("highestVersion")),
        ]
        for member in document["items"]
    ]
    print(format_table(["member", "address", "role", "", "highest version"], rows))


@members_application.command("list")
def members_list(api: Api = DEFAULT_API, token: Token = "") -> None:
    """Show all members."""
    _print_members(run_command(make_client(api, token).call("GET", "/v1/members")))


@members_application.command("add")
def members_add(
    name: str,
    address: Annotated[str, typer.Argument(help="IP:port of its gRPC listener")],
    api_address: Annotated[str, typer.Argument(help="IP:port of its resource API")],
    api: Api = DEFAULT_API,
    token: Token = "",
) -> None:
    """Add a member; it votes once it has caught up."""
    body = {"name": name, "address": address, "apiAddress": api_address}
    _print_members(run_command(make_client(api, token).call("POST", "/v1/members", body)))


@members_application.command("remove")
def members_remove(name: str, api: Api = DEFAULT_API, token: Token = "") -> None:
    """Remove a member."""
    _print_members(run_command(make_client(api, token).call("DELETE", f"/v1/members/{name}")))


@members_application.command("replace")
def members_replace(
    old: str,
    name: str,
    address: Annotated[str, typer.Argument(help="IP:port of the new member's gRPC listener")],
    api_address: Annotated[str, typer.Argument(help="IP:port of its resource API")],
    api: Api = DEFAULT_API,
    token: Token = "",
) -> None:
    """Add a new member, wait until it votes, then remove the old one."""

    async def work() -> dict[str, Any]:
        client = make_client(api, token)
        body = {"name": name, "address": address, "apiAddress": api_address}
        await client.call("POST", "/v1/members", body)
        for _ in range(int(_WAIT_S)):
            document = await client.call("GET", "/v1/members")
            votes = {member["name"]: member.get("voter") for member in document["items"]}
            if votes.get(name):
                return await client.call("DELETE", f"/v1/members/{old}")
            await asyncio.sleep(1.0)
        raise HeronladderError(
            f"{name} has not caught up yet; remove {old} once it votes", step="replace", peer=name
        )

    _print_members(run_command(work()))
