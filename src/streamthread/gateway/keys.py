"""Finds the client account of a call by the key in the call."""

import typing as t

import attrs

from ..platform.accounts import digest_key
from ..platform.accounts import KeyDigest
from ..platform.manifest import Manifest
from ..platform.manifest import Route

__all__ = ["Admission", "admit"]

MAX_KEY_LENGTH = 200
"""A longer key is refused without being digested; the deployments' keys have 20
characters."""


@attrs.frozen
class Admission:
    """Whether a call is allowed, and for which account.

    :param account: empty if the route needs no key.
    :param digest: of the key, for a holder that has a newer configuration.
    :param refusal: why the call is refused; empty if it is allowed. It never contains
        the key.
    """

    account: str = ""
    digest: KeyDigest = attrs.field(default=b"", repr=False)
    refusal: str = ""


def admit(manifest: Manifest, route: Route, keys: t.Sequence[str]) -> Admission:
    """Return whether a call on a route is allowed with the keys in the call.

    Keys are ignored on a route that needs none.
    """
    if not route.needs_key:
        return Admission()
    if not keys:
        return Admission(refusal="no key")
    if len(keys) > 1:
        return Admission(refusal="several keys")
    if not keys[0] or len(keys[0]) > MAX_KEY_LENGTH:
        return Admission(refusal="malformed key")
    digest = digest_key(keys[0])
    account = manifest.account_of(digest)
    if not account:
        return Admission(refusal="unknown key")
    return Admission(account, digest)
