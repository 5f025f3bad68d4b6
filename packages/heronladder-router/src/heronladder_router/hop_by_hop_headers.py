"""Hop-by-hop HTTP headers, which apply to one connection and are not forwarded."""

import aiohttp

_HOP_BY_HOP_HEADERS = frozenset(
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
    """Return whether a header is hop-by-hop; the case of its name does not matter."""
    return name.lower() in _HOP_BY_HOP_HEADERS


def forwarded_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Return the headers of a replica's response that are forwarded to the caller.

    Hop-by-hop headers and those named in the Connection header are left out.
    """
    dropped = {name.strip().lower() for name in response.headers.get("Connection", "").split(",")}
    return [
        (name, value)
        for name, value in response.headers.items()
        if not is_hop_by_hop_header(name) and name.lower() not in dropped
    ]
