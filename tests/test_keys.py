from hypothesis import given, strategies as st

from sequoiahook.decisions.keys import Callers, KeyName, KeyState, KeyTable
from sequoiahook.world.configuration import read_configuration
from sequoiahook.world.organisation import key_digest

SECRETS = [f"secret-{index}" for index in range(4)]
NAMES = ["n0", "n1", "n2"]
KEYS = st.dictionaries(
    st.sampled_from(NAMES), st.tuples(st.sampled_from(SECRETS), st.booleans())
)


def table(keys_by_name, number=1):
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
def test_verify_matches_the_list_of_keys(keys_by_name):
    keys = table(keys_by_name)
    for secret in [*SECRETS, "no-such-key", "", "short", "x" * 1000]:
        states = [w for s, w in keys_by_name.values() if s == secret]
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
def test_withdrawn_keys_are_those_that_opened_before_and_do_not_now(older, newer):
    expected = {
        KeyName("o", name)
        for name, (secret, is_withdrawn) in older.items()
        if not is_withdrawn and newer.get(name) != (secret, False)
    }
    assert table(newer, 2).withdrawn_since(table(older)) == expected


def test_callers_are_found_by_key_until_they_close():
    callers = Callers()
    key = KeyName("o", "n0")
    callers.used(1, key)
    callers.used(2, key)
    callers.used(2, KeyName("o", "n1"))
    assert callers.connections(key) == {1, 2}
    callers.closed(2)
    callers.closed(3)
    assert callers.connections(key) == {1}
    assert callers.connections(KeyName("o", "n1")) == set()
