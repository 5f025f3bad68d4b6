"""Origins of streams: which service and software version began each.

What two software versions write does not fit together, and replicas do not check this. A stream
that a caller takes up at any gateway goes on at the version that began it, or is refused.

- ``decision``: how a gateway learns the origin of a stream, as a pure function.
- ``known_versions``: software versions of each service, from the configuration.
- ``table``: origins that this gateway keeps, for its own streams and for other gateways.
- ``holders``: which gateways keep the origin of a stream.
- ``exchange``: messages between gateways.
- ``streams``: the entry point for the dispatcher.
"""
