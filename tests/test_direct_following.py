"""Following the store directly, through a peer, and when either is unavailable."""

import asyncio

import pytest

from sequoiahook.clock import ManualClock
from sequoiahook.daemons.direct.following import Follower, FollowerSettings
from sequoiahook.daemons.direct.object_store import (
    Change,
    Changes,
    Kind,
    Listing,
    StoredObject,
)
from sequoiahook.daemons.direct.relay import Relay
from sequoiahook.daemons.links import Received
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.errors import (
    HistoryExpiredError,
    PlatformUnavailableError,
    RelayUnavailableError,
)
from tests.direct_parts import an_instance

SETTINGS = FollowerSettings(Kind.TARGETS, 100, 0, 0)
LONG_S = 5
ERA = 3


def at(number):
    return Revision(ERA, number)


class ScriptedSource:
    """Returns or raises the items of a script, then waits until cancelled."""

    def __init__(self, *script):
        self.script = list(script)
        self.requested = []

    async def next_result(self):
        if not self.script:
            await asyncio.Event().wait()
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    async def list_objects(self, kind):
        self.requested.append("list")
        return await self.next_result()

    async def watch(self, kind, revision, wait_ms):
        assert revision.era == ERA
        self.requested.append(revision.number)
        return await self.next_result()

    def decode_object(self, kind, document):
        return StoredObject(document["name"], 1, document["name"], document=document)


class RecordingObserver:
    """Records the calls of a follower."""

    def __init__(self):
        self.calls = []

    def on_listed(self, listing, as_of):
        self.calls.append(("listed", listing.revision.number, as_of))

    def on_changed(self, changes, as_of):
        self.calls.append(("changed", changes.revision.number, as_of))

    def on_store_lost(self):
        self.calls.append("lost")

    def on_store_regained(self):
        self.calls.append("regained")


def follow(source, clock=None):
    observer = RecordingObserver()

    async def run():
        follower = Follower(SETTINGS, source, clock or ManualClock(50), [observer])
        task = asyncio.create_task(follower.run())
        while source.script:
            await asyncio.sleep(0)
        for _ in range(5):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    return observer.calls


def test_follower_lists_and_then_watches_from_the_listed_revision():
    source = ScriptedSource(Listing({}, at(7)), Changes((), at(9)))
    calls = follow(source)
    assert calls == [("listed", 7, 50), ("changed", 9, 50)]
    assert source.requested[:2] == ["list", 7]


def test_follower_lists_again_when_the_history_is_gone():
    source = ScriptedSource(
        Listing({}, at(7)), HistoryExpiredError("x"), Listing({}, at(20))
    )
    follow(source)
    assert source.requested[:3] == ["list", 7, "list"]


def test_watch_continues_from_the_last_revision_after_an_outage():
    lost = PlatformUnavailableError("down")
    source = ScriptedSource(Listing({}, at(7)), lost, lost, Changes((), at(8)))
    calls = follow(source)
    assert calls[1:3] == ["lost", "regained"]
    assert source.requested[:4] == ["list", 7, 7, 7]


def test_a_peer_that_does_not_answer_is_not_reported_as_a_lost_store():
    """Targets that left meanwhile are removed at once: there was no outage."""
    lost = RelayUnavailableError("peer")
    source = ScriptedSource(Listing({}, at(7)), lost, Changes((), at(8)))
    calls = follow(source)
    assert "lost" not in calls
    assert "regained" not in calls


def test_a_relayed_listing_has_the_age_that_the_peer_reports():
    source = ScriptedSource(Listing({}, at(7), age_ms=30))
    assert follow(source) == [("listed", 7, 20)]


class NetworkStub:
    """Carries envelopes between two relays and advances the clock by the delay."""

    def __init__(self, clock, delay_ms):
        self.clock = clock
        self.delay_ms = delay_ms
        self.relays_by_name = {}

    def links_of(self, name):
        return LinksStub(self, name)


class LinksStub:
    def __init__(self, network, name):
        self.network = network
        self.name = name

    def set_peers(self, address_by_peer):
        pass

    def drop(self, peer, silent_ms=0):
        pass

    def is_connected(self, peer):
        return True

    def send(self, peer, envelope):
        self.network.clock.advance(self.network.delay_ms)
        relay = self.network.relays_by_name[peer]
        asyncio.get_running_loop().call_soon(
            relay.on_link_event, Received(self.name, envelope)
        )


class FixedChoice:
    """Chooses one peer, or the store, and records whom to avoid."""

    def __init__(self, peer, avoided):
        self.peer = lambda: peer
        self.avoid = avoided.append
        self.rank = lambda: 0
        self.awaits_peers = self.leads_region = lambda: False
        self.has_all_reports = lambda: True


@pytest.fixture
def pair():
    clock = ManualClock(1_000)
    network = NetworkStub(clock, delay_ms=10)
    leader, me = an_instance("leader"), an_instance("me")
    avoided = []
    relays = {}
    for instance, choice in ((leader, None), (me, leader)):
        relay = Relay(instance, ScriptedSource(), clock, FixedChoice(choice, avoided))
        relay.set_links(network.links_of(instance.name))
        relays[instance.name] = relay
    network.relays_by_name = relays
    return relays["leader"], relays["me"], clock, avoided


class ListingStore(ScriptedSource):
    """Records which lists may be stale."""

    async def list_objects(self, kind, *, may_be_stale=False):
        self.requested.append((kind, may_be_stale))
        return Listing({}, at(1))


@pytest.mark.parametrize("is_first_start", [True, False])
def test_only_the_first_list_of_a_restart_may_be_stale(is_first_start):
    """Its history may be gone, and so may that of the next one if it is stale too."""
    store, clock = ListingStore(), ManualClock(10_000)
    choice = FixedChoice(None, [])
    relay = Relay(
        an_instance("me"), store, clock, choice, is_first_start=is_first_start
    )
    clock.advance(10_000)

    async def run():
        for kind in (Kind.INSTANCES, Kind.INSTANCES, Kind.TARGETS):
            await relay.list_objects(kind)

    asyncio.run(run())
    assert store.requested == [
        (Kind.INSTANCES, not is_first_start),
        (Kind.INSTANCES, False),
        (Kind.TARGETS, False),
    ]


def an_object(name):
    return StoredObject(name, 1, name, document={"name": name})


def test_the_age_of_a_peers_answer_includes_the_round_trip(pair):
    leader, me, clock, _ = pair
    observer = leader.cache_observer(Kind.TARGETS)

    async def run():
        observer.on_listed(Listing({"a": an_object("a")}, at(5)), as_of=clock.now())
        clock.advance(100)
        return await me.list_objects(Kind.TARGETS)

    listing = asyncio.run(run())
    assert set(listing.objects_by_name) == {"a"}
    assert listing.revision == at(5)
    assert 100 <= listing.age_ms <= 140


def test_a_change_reaches_a_waiting_peer(pair):
    leader, me, clock, _ = pair
    observer = leader.cache_observer(Kind.TARGETS)

    async def run():
        observer.on_listed(Listing({}, at(5)), as_of=clock.now())
        waiting = asyncio.create_task(me.watch(Kind.TARGETS, at(5), 60_000))
        for _ in range(5):
            await asyncio.sleep(0)
        change = Change(an_object("b"), is_deleted=False)
        observer.on_changed(Changes((change,), at(6)), as_of=clock.now())
        async with asyncio.timeout(LONG_S):
            return await waiting

    changes = asyncio.run(run())
    assert [change.object.name for change in changes.changes] == ["b"]
    assert changes.revision == at(6)


def test_a_peer_that_loses_the_store_answers_all_waiting_peers_at_once(pair):
    leader, me, clock, avoided = pair

    async def run():
        for kind in (Kind.TARGETS, Kind.CONFIGURATION):
            leader.cache_observer(kind).on_listed(Listing({}, at(5)), as_of=clock.now())
        waiting = asyncio.create_task(me.watch(Kind.TARGETS, at(5), 60_000))
        for _ in range(5):
            await asyncio.sleep(0)
        leader.cache_observer(Kind.CONFIGURATION).on_store_lost()
        async with asyncio.timeout(LONG_S):
            await waiting

    with pytest.raises(RelayUnavailableError):
        asyncio.run(run())
    assert avoided == ["leader"]
