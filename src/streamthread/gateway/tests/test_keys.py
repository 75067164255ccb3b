"""Which calls are allowed with the keys in them."""

import json

import pytest

from streamthread.gateway.keys import Admission
from streamthread.gateway.keys import admit
from streamthread.gateway.keys import MAX_KEY_LENGTH
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.manifest import Manifest
from streamthread.platform.manifest import Route

CLOSED = Route(name="r", host="h", path_prefix="/", service="desk", needs_key=True)
OPEN = Route(name="o", host="h", path_prefix="/o/", service="desk")


@pytest.fixture
def manifest() -> Manifest:
    accounts = [{"name": "ann", "apiKeys": ["good-key"]}]
    value = {"version": 1, "routes": [], "services": [], "tenants": accounts}
    return decode_manifest(json.dumps(value).encode()).manifest


@pytest.mark.parametrize(
    "keys",
    [
        [],
        [""],
        ["other"],
        ["good-key "],
        ["Good-key"],
        ["good-key,good-key"],
        ["good-key", "good-key"],
        ["x" * (MAX_KEY_LENGTH + 1)],
        ["\udcff\x00"],
    ],
)
def test_invalid_keys_are_refused_without_quoting_them(
    manifest: Manifest, keys: list[str]
) -> None:
    admission = admit(manifest, CLOSED, keys)
    assert admission.refusal in (
        "no key",
        "several keys",
        "malformed key",
        "unknown key",
    )
    assert not admission.account
    assert not admission.digest


def test_a_valid_key_selects_its_account(manifest: Manifest) -> None:
    admission = admit(manifest, CLOSED, ["good-key"])
    assert (admission.account, admission.refusal) == ("ann", "")
    assert "good-key" not in repr(admission)
    assert admission.digest.hex() not in repr(admission)


@pytest.mark.parametrize("keys", [[], ["other"], ["good-key"]])
def test_a_public_route_ignores_keys(manifest: Manifest, keys: list[str]) -> None:
    assert admit(manifest, OPEN, keys) == Admission()
