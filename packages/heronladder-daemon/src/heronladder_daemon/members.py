"""Parsers for the settings that list members of control groups."""

from heronladder_runtime.errors import SettingsError
from heronladder_schema.v1 import consensus_pb2


def parse_members(text: str) -> list[consensus_pb2.Member]:
    """Parse the setting ``initial_members``: NAME=GRPC_ADDRESS/API_ADDRESS,...

    Raises:
        SettingsError: If an entry is malformed.
    """
    members = []
    for entry in filter(None, text.split(",")):
        name, equals, addresses = entry.partition("=")
        address, slash, api_address = addresses.partition("/")
        if not (name and equals and address and slash and api_address):
            raise SettingsError(
                [
                    f"setting initial_members: entry {entry!r} must be "
                    "NAME=IP:port/IP:port (gRPC address, API address)"
                ]
            )
        members.append(
            consensus_pb2.Member(name=name, address=address, api_address=api_address, voter=True)
        )
    return members


def parse_regions(text: str) -> dict[str, list[str]]:
    """Parse the setting ``region_addresses``: REGION=IP:port|IP:port,...

    Raises:
        SettingsError: If an entry is malformed.
    """
    regions = {}
    for entry in filter(None, text.split(",")):
        region, equals, addresses = entry.partition("=")
        if not (region and equals and addresses):
            raise SettingsError(
                [f"setting region_addresses: entry {entry!r} must be REGION=IP:port|IP:port"]
            )
        regions[region] = addresses.split("|")
    return regions
