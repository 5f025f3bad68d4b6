"""Authentication of tenants by the hash of their API key."""

import hashlib
import hmac

from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import resources_pb2

from heronladder_router.errors import InvalidKeyError

_SCHEME = "Bearer "


class TenantDirectory:
    """Looks up tenants by API key.

    Args:
        configuration: The router's configuration; holds the tenants.
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
        """Return the tenant that an Authorization header identifies.

        Raises:
            InvalidKeyError: If the header has no key, or no tenant has this key.
        """
        if not authorization.startswith(_SCHEME):
            raise InvalidKeyError(
                "send the tenant's API key as 'Authorization: Bearer KEY'", step="authenticate"
            )
        key = authorization.removeprefix(_SCHEME).strip()
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        tenant = self._by_hash.get(key_hash)
        # The table is indexed by the hash of the key, so lookup timing reveals nothing about the
        # key. The final comparison also takes constant time.
        known = next(iter(tenant.tenant.key_sha256), "") if tenant is not None else ""
        for candidate in tenant.tenant.key_sha256 if tenant is not None else ():
            if hmac.compare_digest(candidate, key_hash):
                known = candidate
        if tenant is None or not hmac.compare_digest(known, key_hash):
            raise InvalidKeyError("the API key is unknown", step="authenticate")
        return tenant
