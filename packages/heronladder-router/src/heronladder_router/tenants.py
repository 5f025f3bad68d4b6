"""Who calls: tenants by the hash of their key."""

import hashlib
import hmac

from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import resources_pb2

from heronladder_router.errors import InvalidKeyError

_SCHEME = "Bearer "


class TenantDirectory:
    """Finds the tenant of a key.

    Args:
        configuration: The router's configuration.
    """

    def __init__(self, configuration: ConfigurationStore) -> None:
        self._configuration = configuration
        self._by_hash: dict[str, resources_pb2.Resource] = {}
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        self._by_hash = {
            key_hash: resource
            for resource in self._configuration.tenants().values()
            for key_hash in resource.tenant.key_sha256
        }

    def authenticate(self, authorization: str) -> resources_pb2.Resource:
        """Return the tenant of an Authorization header.

        Raises:
            InvalidKeyError: If there is no key, or no tenant has it.
        """
        if not authorization.startswith(_SCHEME):
            raise InvalidKeyError(
                "send the tenant's key as 'Authorization: Bearer KEY'", step="authenticate"
            )
        key = authorization.removeprefix(_SCHEME).strip()
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        found = self._by_hash.get(key_hash)
        # The table is searched by a hash of the key, whose timing tells nothing
        # of the key; the last comparison takes constant time besides.
        known = next(iter(found.tenant.key_sha256), "") if found is not None else ""
        for candidate in found.tenant.key_sha256 if found is not None else ():
            if hmac.compare_digest(candidate, key_hash):
                known = candidate
        if found is None or not hmac.compare_digest(known, key_hash):
            raise InvalidKeyError("the key is not known", step="authenticate")
        return found
