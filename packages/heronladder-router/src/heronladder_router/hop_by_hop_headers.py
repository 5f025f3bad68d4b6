"""Headers that concern one connection only, and are not passed on."""

import aiohttp

_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


def is_hop_by_hop_header(name: str) -> bool:
    """Whether a header concerns one connection only."""
    return name.lower() in _HOP_HEADERS


def forwarded_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Return the headers of an answer that go on to the caller."""
    dropped = {name.strip().lower() for name in response.headers.get("Connection", "").split(",")}
    return [
        (name, value)
        for name, value in response.headers.items()
        if not is_hop_by_hop_header(name) and name.lower() not in dropped
    ]
