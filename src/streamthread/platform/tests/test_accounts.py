"""Client accounts of a configuration: their keys and their limits."""

import json
import typing as t

import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.errors import UnreadableError
from streamthread.platform.accounts import digest_key
from streamthread.platform.accounts import Limit
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.manifest import Manifest

Json = dict[str, t.Any]

NON_PUBLIC_ROUTE: Json = {"name": "r", "host": "h", "service": "desk", "public": False}


def account(name: str, *keys: str, cpu: int = 0) -> Json:
    maximum = {"cpu": cpu, "memMb": 0, "gpu": 0}
    return {"name": name, "apiKeys": list(keys), "weight": 3, "maximum": maximum}


def text(accounts: t.Any, version: int = 1, route: Json = NON_PUBLIC_ROUTE) -> bytes:
    value: Json = {"version": version, "routes": [route], "services": []}
    if accounts is not None:
        value["tenants"] = accounts
    return json.dumps(value).encode()


def read(accounts: t.Any, before: Manifest | None = None) -> Manifest:
    return decode_manifest(text(accounts), before).manifest


def account_of_key(manifest: Manifest, key: str) -> str:
    return manifest.account_of(digest_key(key))


class TestKeys:
    def test_only_a_listed_key_gives_access_to_its_account(self) -> None:
        manifest = read([account("ann", "k1", "k2"), account("bob", "k3")])
        assert [account_of_key(manifest, key) for key in ("k1", "k2", "k3")] == [
            "ann",
            "ann",
            "bob",
        ]
        assert not account_of_key(manifest, "k4")

    def test_an_empty_key_gives_no_access(self) -> None:
        assert not account_of_key(read([account("ann", "")]), "")

    def test_a_removed_key_gives_no_access(self) -> None:
        before = read([account("ann", "k1", "k2")])
        assert not account_of_key(read([account("ann", "k2")], before), "k1")

    def test_a_key_may_move_to_another_account(self) -> None:
        before = read([account("ann", "k1"), account("bob")])
        assert (
            account_of_key(read([account("ann"), account("bob", "k1")], before), "k1")
            == "bob"
        )

    def test_neither_keys_nor_digests_are_shown(self) -> None:
        manifest = read([account("ann", "a-long-secret-key")])
        assert "secret" not in repr(manifest)
        assert "secret" not in str(vars(type(manifest)))
        assert digest_key("a-long-secret-key").hex() not in repr(manifest)

    @given(st.text())
    def test_any_text_has_a_digest(self, key: str) -> None:
        assert len(digest_key(key)) == 16


class TestKeyOfTwoAccounts:
    def test_gives_no_access_if_it_is_new_in_both(self) -> None:
        reading = decode_manifest(text([account("ann", "k"), account("bob", "k")]))
        assert not account_of_key(reading.manifest, "k")
        assert [error.key for error in reading.unreadable] == ["config 'bob'"]

    def test_stays_with_its_previous_account(self) -> None:
        before = read([account("ann", "x"), account("bob", "k")])
        both = [account("ann", "x", "k"), account("bob", "k")]
        manifest = read(both, before)
        assert account_of_key(manifest, "k") == "bob"
        assert account_of_key(manifest, "x") == "ann"

    def test_the_error_does_not_contain_the_key(self) -> None:
        reading = decode_manifest(
            text([account("ann", "secret"), account("bob", "secret")])
        )
        assert "secret" not in str(reading.unreadable[0])

    def test_is_valid_within_one_account(self) -> None:
        reading = decode_manifest(text([account("ann", "k", "k")]))
        assert account_of_key(reading.manifest, "k") == "ann"
        assert not reading.unreadable


class TestUndecodableAccount:
    @pytest.mark.parametrize("bad", [{"name": "ann", "apiKeys": 7}, 5, None, "ann", {}])
    def test_does_not_affect_other_accounts(self, bad: t.Any) -> None:
        reading = decode_manifest(text([bad, account("bob", "k")]))
        assert account_of_key(reading.manifest, "k") == "bob"
        assert len(reading.unreadable) == 1

    def test_keeps_its_previous_version(self) -> None:
        before = read([account("ann", "k", cpu=50)])
        manifest = read([{"name": "ann", "apiKeys": 7}], before)
        assert account_of_key(manifest, "k") == "ann"
        assert manifest.limit_of("ann") == Limit(cpu=50)

    def test_the_second_of_one_name_is_ignored(self) -> None:
        reading = decode_manifest(text([account("ann", "k1"), account("ann", "k2")]))
        assert account_of_key(reading.manifest, "k1") == "ann"
        assert not account_of_key(reading.manifest, "k2")
        assert len(reading.unreadable) == 1

    def test_an_invalid_list_of_accounts_rejects_the_configuration(self) -> None:
        with pytest.raises(UnreadableError):
            decode_manifest(text({"ann": []}))


class TestRoutes:
    @pytest.mark.parametrize(
        ("public", "accounts", "needs_key"),
        [
            (True, [], False),
            (False, [], True),
            (None, [], True),
            (None, None, False),
            (False, None, True),
        ],
    )
    def test_which_routes_need_a_key(
        self, public: bool | None, accounts: t.Any, needs_key: bool
    ) -> None:
        route = {"name": "r", "service": "desk"}
        if public is not None:
            route["public"] = t.cast(t.Any, public)
        manifest = decode_manifest(text(accounts, route=route)).manifest
        assert manifest.routes[0].needs_key is needs_key


class TestLimits:
    def test_a_removed_account_keeps_its_last_limit(self) -> None:
        before = read([account("ann", "k", cpu=50)])
        manifest = read([], before)
        assert manifest.limit_of("ann") == Limit(cpu=50)
        assert not account_of_key(manifest, "k")

    def test_an_account_that_returns_has_its_new_limit(self) -> None:
        gone = read([], read([account("ann", cpu=50)]))
        assert read([account("ann", cpu=7)], gone).limit_of("ann") == Limit(cpu=7)

    def test_an_unknown_account_has_no_limit_object(self) -> None:
        assert read([account("ann")]).limit_of("bob") is None

    def test_zero_means_no_limit(self) -> None:
        assert Limit().allows(10**9, 10**9, 10**9)
        assert not Limit(cpu=5).allows(6, 0, 0)


class TestUnchangedParts:
    def test_are_not_decoded_again(self) -> None:
        before = read([account("ann", "k1"), account("bob", "k2")])
        manifest = read([account("ann", "k1"), account("bob", "k3")], before)
        assert manifest.accounts["ann"] is before.accounts["ann"]
        assert manifest.routes[0] is before.routes[0]
        assert account_of_key(manifest, "k3") == "bob"

    def test_are_decoded_again_if_their_meaning_changes(self) -> None:
        """The same text of a route has another meaning once there are accounts."""
        route = {"name": "r", "service": "desk"}
        before = decode_manifest(text(None, route=route)).manifest
        after = decode_manifest(text([], route=route), before).manifest
        assert not before.routes[0].needs_key
        assert after.routes[0].needs_key

    def test_that_are_undecodable_are_reported_each_time(self) -> None:
        bad = {"name": "ann", "apiKeys": 7}
        first = decode_manifest(text([bad]))
        second = decode_manifest(text([bad]), first.manifest)
        assert len(first.unreadable) == len(second.unreadable) == 1

    def test_do_not_contain_the_texts_of_accounts(self) -> None:
        manifest = read([account("ann", "a-long-secret-key")])
        assert "secret" not in str(manifest.parts)
