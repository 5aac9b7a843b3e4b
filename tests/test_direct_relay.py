"""The store cache of a relay, and the choice of the peer that relays the store."""

import pytest
from hypothesis import given, strategies as st

from sequoiahook.daemons.direct.object_store import Kind, Listing, StoredObject
from sequoiahook.daemons.direct.relay_cache import CacheObserver
from sequoiahook.decisions.direct.core import (
    RELAY_AGE_MAX_MS,
    RELAYS_MAX,
    DirectCore,
)
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.decisions.direct.store_cache import CachedObject, StoreCache
from sequoiahook.messages.reports import Datagram, GroupReport, QuotaTable
from tests.direct_parts import a_configuration, an_instance
from tests.test_direct_attempts import SETTINGS
from tests.test_direct_peers import STATE

batches = st.lists(
    st.lists(
        st.builds(
            CachedObject,
            st.sampled_from("abc"),
            st.integers(),
            st.booleans(),
        ),
        max_size=3,
    ).map(tuple),
    max_size=8,
)


def at(number, era=1):
    return Revision(era, number)


def apply(objects, table):
    for found in objects:
        if found.is_deleted:
            table.pop(found.name, None)
        else:
            table[found.name] = found.document


@given(batches, st.data())
def test_changes_after_a_revision_lead_to_the_present_state(changes, data):
    cache = StoreCache()
    cache.replace((CachedObject("a", 0),), at(10), 0)
    state = {"a": 0}
    states_by_revision = {10: dict(state)}
    for index, objects in enumerate(changes):
        revision = 11 + index
        cache.apply_changes(objects, at(revision), index)
        apply(objects, state)
        states_by_revision[revision] = dict(state)
    start = data.draw(st.sampled_from(sorted(states_by_revision)))
    follower = dict(states_by_revision[start])
    apply(cache.changes_after(at(start)), follower)
    assert follower == state
    assert {o.name: o.document for o in cache.all_objects()} == state


def test_changes_after_an_unknown_revision_are_not_available():
    cache = StoreCache()
    assert cache.changes_after(at(5)) is None
    cache.replace((), at(10), 0)
    assert cache.changes_after(at(9)) is None
    assert cache.changes_after(at(10)) == ()


def test_a_peer_ahead_of_the_cache_gets_only_later_changes():
    """It read from another instance before, which was ahead of this one."""
    cache = StoreCache()
    cache.replace((), at(10), 0)
    assert cache.changes_after(at(15)) == ()
    cache.apply_changes((CachedObject("a", 1),), at(12), 0)
    assert cache.changes_after(at(15)) == ()
    cache.apply_changes((CachedObject("a", 2),), at(17), 0)
    assert cache.changes_after(at(15)) == (CachedObject("a", 2),)


def receive_report(core, name, age_ms, now, sequence):
    state = STATE._replace(configuration_age_ms=age_ms)
    quota = QuotaTable(0, (), (), ())
    report = GroupReport(name, {name: state}, {}, {}, {}, quota)
    core.receive(Datagram(name, 1, sequence, report), now)


def test_all_instances_of_a_region_relay_through_the_same_fresh_instance():
    names = [f"n{i}" for i in range(5)]
    cores = {name: DirectCore(SETTINGS, an_instance(name), 0) for name in names}
    instances = {name: an_instance(name) for name in names}
    for name, core in cores.items():
        core.configure(a_configuration(), 0)
        core.set_instances(instances, 0)
        for other in names:
            if other != name:
                receive_report(core, other, 100, 0, 1)
    sources = {name: core.relay_peer(0) for name, core in cores.items()}
    direct_readers = [name for name, source in sources.items() if source is None]
    assert len(direct_readers) == 1
    relays = {source.name for source in sources.values() if source is not None}
    assert relays == set(direct_readers)


def test_an_instance_without_a_configuration_reads_through_any_peer_that_has_one():
    """A store that has returned from a copy may list an older configuration."""
    for number in range(5):
        core = DirectCore(SETTINGS, an_instance(f"n{number}"), 0)
        core.set_instances({"other": an_instance("other")}, 0)
        assert core.relay_peer(0) is None
        assert not core.awaits_peers(0)
        receive_report(core, "other", RELAY_AGE_MAX_MS + 1, 0, 1)
        assert core.relay_peer(0).name == "other"
        assert core.awaits_peers(0)


def test_an_instance_that_the_store_refuses_asks_few_peers_before_it_calls_again():
    for number in range(10):
        core = DirectCore(SETTINGS, an_instance(f"n{number}"), 0)
        core.configure(a_configuration(), 0)
        others = {f"o{i}": an_instance(f"o{i}") for i in range(20)}
        core.set_instances(others, 0)
        for name in others:
            receive_report(core, name, 100, 0, 1)
        core.avoid_relay(core.me.name, 0)
        asked = []
        while (peer := core.relay_peer(1)) is not None:
            asked.append(peer.name)
            core.avoid_relay(peer.name, 1)
        assert 3 <= len(asked) <= RELAYS_MAX


@pytest.mark.parametrize("number", [10, 30, 31, 50, 51, 60])
def test_no_revision_of_an_earlier_era_is_continued_from(number):
    """A peer that asks with one would never see the changes up to that number."""
    cache = StoreCache()
    cache.replace((), at(50), 0)
    cache.replace((), at(30, era=2), 1)
    cache.apply_changes((CachedObject("a", 1),), at(51, era=2), 2)
    assert cache.changes_after(at(number)) is None
    assert cache.changes_after(at(51, era=2)) == ()
    assert cache.changes_after(at(30, era=2)) == (CachedObject("a", 1),)


def test_a_relay_keeps_the_newest_configuration_if_the_store_lists_an_older_one():
    cache = StoreCache()
    observer = CacheObserver(Kind.CONFIGURATION, cache, set(), lambda kinds: None)
    for era, revision, number in ((1, 50, 11), (2, 30, 5)):
        stored = StoredObject("main", revision, a_configuration(number), "", number)
        observer.on_listed(Listing({"main": stored}, at(revision, era)), 0)
    (cached,) = cache.all_objects()
    assert cached.document == 11


def test_a_peer_with_an_old_configuration_is_not_used_as_relay():
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    core.configure(a_configuration(), 0)
    core.set_instances({"n1": an_instance("n1"), "n2": an_instance("n2")}, 0)
    for name in ("n1", "n2"):
        receive_report(core, name, RELAY_AGE_MAX_MS + 1, 0, 1)
    assert core.relay_peer(0) is None


def test_a_peer_that_did_not_answer_is_not_used_as_relay_for_a_while():
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    for number in range(20):
        core.set_instances({f"n{number}": an_instance(f"n{number}")}, 0)
        receive_report(core, f"n{number}", 0, 0, 1)
        source = core.relay_peer(0)
        if source is not None:
            core.avoid_relay(source.name, 0)
            assert core.relay_peer(1) is None
            return
    raise AssertionError("none of 20 peers ranked before this instance")


def test_a_peer_of_an_earlier_version_is_not_used_as_relay():
    """Its answers do not state the era of the store."""
    for number in range(10):
        core = DirectCore(SETTINGS, an_instance(f"n{number}"), 0)
        earlier, present = an_instance("a", protocol=1), an_instance("b")
        core.set_instances({"a": earlier}, 0)
        receive_report(core, "a", 100, 0, 1)
        assert core.relay_peer(0) is None
        core.configure(a_configuration(), 0)
        assert core.relay_peer(0) is None
        core.set_instances({"a": earlier, "b": present}, 0)
        receive_report(core, "b", 100, 0, 1)
        assert core.relay_peer(0) in (None, present)
