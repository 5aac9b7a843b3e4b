"""Following the store: alone, through a peer, and when either is lost."""

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
from sequoiahook.errors import (
    HistoryExpiredError,
    PlatformUnavailableError,
    RelayUnavailableError,
)
from tests.direct_parts import an_instance

SETTINGS = FollowerSettings(Kind.TARGETS, 100, 0, 0)
LONG_S = 5


class ScriptedSource:
    """Answers with a script of results and errors, then waits for ever."""

    def __init__(self, *script):
        self.script = list(script)
        self.asked = []

    async def next_result(self):
        if not self.script:
            await asyncio.Event().wait()
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    async def list_objects(self, kind):
        self.asked.append("list")
        return await self.next_result()

    async def watch(self, kind, revision, wait_ms):
        self.asked.append(revision)
        return await self.next_result()

    def read(self, kind, document):
        return StoredObject(document["name"], 1, document["name"], document=document)


class Notes:
    """Notes what an observer is told."""

    def __init__(self):
        self.told = []

    def listed(self, listing, as_of):
        self.told.append(("listed", listing.revision, as_of))

    def changed(self, changes, as_of):
        self.told.append(("changed", changes.revision, as_of))

    def lost(self):
        self.told.append("lost")

    def regained(self):
        self.told.append("regained")


def follow(source, clock=None):
    notes = Notes()

    async def run():
        follower = Follower(SETTINGS, source, clock or ManualClock(50), [notes])
        task = asyncio.create_task(follower.run())
        while source.script:
            await asyncio.sleep(0)
        for _ in range(5):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    return notes.told


def test_it_lists_and_then_watches_from_there():
    source = ScriptedSource(Listing({}, 7), Changes((), 9))
    told = follow(source)
    assert told == [("listed", 7, 50), ("changed", 9, 50)]
    assert source.asked[:2] == ["list", 7]


def test_a_history_that_is_gone_is_listed_again():
    source = ScriptedSource(Listing({}, 7), HistoryExpiredError("x"), Listing({}, 20))
    follow(source)
    assert source.asked[:3] == ["list", 7, "list"]


def test_a_store_that_was_away_is_noted_and_watched_from_where_it_was():
    lost = PlatformUnavailableError("down")
    source = ScriptedSource(Listing({}, 7), lost, lost, Changes((), 8))
    told = follow(source)
    assert told[1:3] == ["lost", "regained"]
    assert source.asked[:4] == ["list", 7, 7, 7]


def test_a_peer_that_does_not_answer_says_nothing_of_the_store():
    """Targets that left meanwhile are gone at once: nothing lapsed with the store."""
    lost = RelayUnavailableError("peer")
    source = ScriptedSource(Listing({}, 7), lost, Changes((), 8))
    told = follow(source)
    assert "lost" not in told
    assert "regained" not in told


def test_what_a_peer_says_is_as_old_as_the_peer_says():
    source = ScriptedSource(Listing({}, 7, age_ms=30))
    assert follow(source) == [("listed", 7, 20)]


class Wire:
    """Carries envelopes between two relays, with a delay that its clock counts."""

    def __init__(self, clock, way_ms):
        self.clock = clock
        self.way_ms = way_ms
        self.relays_by_name = {}

    def links_of(self, name):
        return WireEnd(self, name)


class WireEnd:
    def __init__(self, wire, name):
        self.wire = wire
        self.name = name

    def want(self, address_by_peer):
        pass

    def is_connected(self, peer):
        return True

    def send(self, peer, envelope):
        self.wire.clock.advance(self.wire.way_ms)
        relay = self.wire.relays_by_name[peer]
        asyncio.get_running_loop().call_soon(
            relay.on_link_event, Received(self.name, envelope)
        )


@pytest.fixture
def pair():
    clock = ManualClock(1_000)
    wire = Wire(clock, way_ms=10)
    leader, me = an_instance("leader"), an_instance("me")
    avoided = []
    relays = {}
    for instance, choice in ((leader, None), (me, leader)):
        relay = Relay(
            instance,
            ScriptedSource(),
            clock,
            lambda choice=choice: choice,
            avoided.append,
        )
        relay.use(wire.links_of(instance.name))
        relays[instance.name] = relay
    wire.relays_by_name = relays
    return relays["leader"], relays["me"], clock, avoided


def an_object(name):
    return StoredObject(name, 1, name, document={"name": name})


def test_a_peers_answer_counts_the_way_as_age(pair):
    leader, me, clock, _ = pair
    observer = leader.observer(Kind.TARGETS)

    async def run():
        observer.listed(Listing({"a": an_object("a")}, 5), as_of=clock.now())
        clock.advance(100)
        return await me.list_objects(Kind.TARGETS)

    listing = asyncio.run(run())
    assert set(listing.objects_by_name) == {"a"}
    assert listing.revision == 5
    assert 100 <= listing.age_ms <= 140


def test_a_change_reaches_a_peer_that_waits(pair):
    leader, me, clock, _ = pair
    observer = leader.observer(Kind.TARGETS)

    async def run():
        observer.listed(Listing({}, 5), as_of=clock.now())
        waiting = asyncio.create_task(me.watch(Kind.TARGETS, 5, 60_000))
        for _ in range(5):
            await asyncio.sleep(0)
        change = Change(an_object("b"), is_deleted=False)
        observer.changed(Changes((change,), 6), as_of=clock.now())
        async with asyncio.timeout(LONG_S):
            return await waiting

    changes = asyncio.run(run())
    assert [change.object.name for change in changes.changes] == ["b"]
    assert changes.revision == 6


def test_a_peer_that_loses_the_store_says_so_at_once_to_all_that_wait(pair):
    leader, me, clock, avoided = pair

    async def run():
        for kind in (Kind.TARGETS, Kind.CONFIGURATION):
            leader.observer(kind).listed(Listing({}, 5), as_of=clock.now())
        waiting = asyncio.create_task(me.watch(Kind.TARGETS, 5, 60_000))
        for _ in range(5):
            await asyncio.sleep(0)
        leader.observer(Kind.CONFIGURATION).lost()
        async with asyncio.timeout(LONG_S):
            await waiting

    with pytest.raises(RelayUnavailableError):
        asyncio.run(run())
    assert avoided == ["leader"]
