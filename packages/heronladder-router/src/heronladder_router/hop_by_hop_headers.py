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

    Hop-by-hop headers and those named in the Connection header are left out. Values that are not
    UTF-8 are taken for ISO-8859-1, because aiohttp writes UTF-8 only: its writer in C would leave
    such bytes out, and the one in Python would fail.
    """
    dropped = {name.strip().lower() for name in response.headers.get("Connection", "").split(",")}
    return [
        (name, _as_utf_8(value))
        for name, value in response.headers.items()
        if not is_hop_by_hop_header(name) and name.lower() not in dropped
    ]


def _as_utf_8(value: str) -> str:
    """Return a value without bytes that aiohttp's parser could not decode."""
    if value.isascii():
        return value
    raw = value.encode("utf-8", "surrogateescape")
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError:
        return raw.decode("latin-1")
