from hypothesis import given, strategies as st

from sequoiahook.decisions.keys import KeyName, KeyState, KeyTable, KeyUsage
from sequoiahook.world.configuration import read_configuration
from sequoiahook.world.organisation import key_digest

SECRETS = [f"secret-{index}" for index in range(4)]
NAMES = ["n0", "n1", "n2"]
KEYS = st.dictionaries(
    st.sampled_from(NAMES), st.tuples(st.sampled_from(SECRETS), st.booleans())
)


def key_table(keys_by_name, number=1):
    keys = {
        name: {"digest": key_digest(secret), "withdrawn": withdrawn}
        for name, (secret, withdrawn) in keys_by_name.items()
    }
    organisation = {"rate_per_s": 1, "burst": 1, "keys_by_name": keys}
    organisation["services"] = ["s"]
    service = {"path_prefix": "/s"}
    other = {"path_prefix": "/t"}
    document = {
        "services_by_name": {"s": service, "t": other},
        "organisations_by_name": {"o": organisation},
    }
    return KeyTable(read_configuration(number, document))


@given(KEYS)
def test_verify_agrees_with_a_search_of_all_keys(keys_by_name):
    keys = key_table(keys_by_name)
    for secret in [*SECRETS, "no-such-key", "", "short", "x" * 1000]:
        states = [withdrawn for s, withdrawn in keys_by_name.values() if s == secret]
        verdict = keys.verify(secret)
        if not states:
            assert verdict.state is KeyState.UNKNOWN
            assert verdict.name is None
        elif any(states):
            assert verdict.state is KeyState.WITHDRAWN
        else:
            assert verdict.state is KeyState.VALID
            assert keys_by_name[verdict.name.key_name] == (secret, False)
            assert keys.may_use(verdict.name, "s")
            assert not keys.may_use(verdict.name, "t")


@given(KEYS, KEYS)
def test_withdrawn_since_returns_keys_that_are_no_longer_valid(older, newer):
    expected = {
        KeyName("o", name)
        for name, (secret, is_withdrawn) in older.items()
        if not is_withdrawn and newer.get(name) != (secret, False)
    }
    assert key_table(newer, 2).withdrawn_since(key_table(older)) == expected


def test_connections_are_found_by_key_until_they_close():
    usage = KeyUsage()
    key = KeyName("o", "n0")
    usage.record(1, key)
    usage.record(2, key)
    usage.record(2, KeyName("o", "n1"))
    assert usage.connections(key) == {1, 2}
    usage.remove_connection(2)
    usage.remove_connection(3)
    assert usage.connections(key) == {1}
    assert usage.connections(KeyName("o", "n1")) == set()
