"""The configuration of a simulation, and the lease of a daemon that is cut off."""

import json

import attrs

from streamthread.platform.manifest import decode_manifest
from streamthread.platform.manifest import Manifest

POOL = "desk"
PART = "main"
ACCOUNT = "ann"
"""The client account that submits all jobs if the simulation has an account."""

MAX_ATTEMPTS = 3
"""A job fails once one of its runs has failed this often."""

MANIFEST = {
    "version": 1,
    "routes": [{"name": POOL, "service": POOL, "maxAttempts": MAX_ATTEMPTS}],
    "services": [{"name": POOL}],
}


@attrs.define
class Documents:
    """The operator's configuration, as one daemon has read it.

    :param manifest: None until it has been read.
    """

    manifest: Manifest | None
    waves: dict[int, object] = attrs.field(factory=dict)

    @classmethod
    def with_limit(cls, limit_cpu: int) -> "Documents":
        """Return the configuration, with an account if there is a limit."""
        value: dict[str, object] = dict(MANIFEST)
        if limit_cpu:
            value["tenants"] = [{"name": ACCOUNT, "maximum": {"cpu": limit_cpu}}]
        return cls(decode_manifest(json.dumps(value).encode()).manifest)


class IsolatedLease:
    """The lease of a daemon that knows no holder on another daemon."""

    owner = None
    holding = False
    address = ""

    def is_holder_alive(self) -> bool:
        return False
