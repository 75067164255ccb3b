"""Which client account a call is made for, by the key that it brings."""

import typing as t

import attrs

from ..platform.accounts import digest_key
from ..platform.accounts import KeyDigest
from ..platform.manifest import Manifest
from ..platform.manifest import Route

__all__ = ["Admission", "admit"]

MOST_KEY_LENGTH = 200
"""A longer text is no key, and is not digested; the deployments' keys have 20 signs."""


@attrs.frozen
class Admission:
    """Whether a call may be made, and for which account.

    :param account: empty where the route needs no key.
    :param digest: of the key, for whoever knows a newer configuration.
    :param refusal: why the call is not made; empty: it is. It never says what the key
        was.
    """

    account: str = ""
    digest: KeyDigest = attrs.field(default=b"", repr=False)
    refusal: str = ""


def admit(manifest: Manifest, route: Route, keys: t.Sequence[str]) -> Admission:
    """Return whether a call on a route may be made with the keys that it brings.

    On a route that needs none, keys are not looked at.
    """
    if not route.needs_key:
        return Admission()
    if not keys:
        return Admission(refusal="no key")
    if len(keys) > 1:
        return Admission(refusal="several keys")
    if not keys[0] or len(keys[0]) > MOST_KEY_LENGTH:
        return Admission(refusal="malformed key")
    digest = digest_key(keys[0])
    account = manifest.account_of(digest)
    if not account:
        return Admission(refusal="unknown key")
    return Admission(account, digest)
