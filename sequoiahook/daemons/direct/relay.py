"""Sharing what one instance of a region follows in the platform's store.

The store prices each call, so few instances of a region follow it themselves. The
others ask the first of them over a link, with the same calls. An answer says how old
its sender's knowledge is; the way there and back counts as age as well, so a link that
is slow, or a process that was suspended, never makes knowledge look younger than it is.
"""

import asyncio
import itertools
import zlib
from collections.abc import Callable, Iterable

import cbor2
import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.object_store import (
    Change,
    Changes,
    Kind,
    Listing,
    ObjectStore,
    StoredObject,
)
from sequoiahook.daemons.links import (
    LinkEvent,
    Links,
    PeerDown,
    Received,
    SendFailed,
)
from sequoiahook.decisions.direct.store_cache import CachedObject, StoreCache
from sequoiahook.errors import HistoryExpiredError, RelayUnavailableError
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.relay import StoreAnswer, StoreAsk
from sequoiahook.world.instance import Address, LiveInstance

__all__ = ["Relay"]

ANSWER_MARGIN_MS = 500
"""Time for the way of an ask and its answer inside a region, which takes some 2 ms."""

COMPRESSION_LEVEL = 1
"""The fastest: documents repeat their field names, and links may be slow."""

CONTENT_BYTES_MAX = 64_000_000
"""More than all objects of a kind; more than that is refused."""

LIST_WAIT_MS = 1_000
"""How long a peer that has no list yet waits for its own."""

PEERS_CHECK_MS = 50
PATIENCE_MS = 3_000
"""All instances start within 0.3 s; callers come some ten seconds after them."""

ENTRIES_MS = 700
"""Time after the start in which all instances of a first start enter themselves."""

PATIENT_KINDS = frozenset({Kind.CONFIGURATION, Kind.EVACUATIONS, Kind.TARGETS})
LIST_REVISION = -1
HISTORY_GONE = "history gone"
NOT_FOLLOWED = "not followed here"

log = logbook.Logger("relay")


class _CacheObserver:
    """Keeps a cache up to date with what a follower sees."""

    def __init__(
        self,
        kind: Kind,
        cache: StoreCache,
        lost_kinds: set[Kind],
        tell: Callable[[Iterable[Kind]], None],
    ):
        self._kind = kind
        self._cache = cache
        self._lost_kinds = lost_kinds
        self._tell = tell

    def listed(self, listing: Listing, as_of: int) -> None:
        objects = tuple(
            CachedObject(found.name, found.document)
            for found in listing.objects_by_name.values()
        )
        self._cache.listed(objects, listing.revision, as_of)
        self._tell((self._kind,))

    def changed(self, changes: Changes, as_of: int) -> None:
        objects = tuple(
            CachedObject(change.object.name, change.object.document, change.is_deleted)
            for change in changes.changes
        )
        self._cache.changed(objects, changes.revision, as_of)
        if objects:
            self._tell((self._kind,))

    def lost(self) -> None:
        # A store that does not answer for one kind may be silent for the others: peers
        # that wait for an answer should look elsewhere at once.
        self._lost_kinds.add(self._kind)
        self._tell(Kind)

    def regained(self) -> None:
        self._lost_kinds.discard(self._kind)


class Relay:
    """Asks the following instance of the region, and answers peers that ask.

    Args:
        me: This instance.
        store: The store itself.
        clock: The time.
        choose: Returns the peer to ask; None to go to the store itself.
        avoid: Called with a peer that did not answer.
        leads: Returns whether other instances of the region are heard, and this one
            comes before them.
        is_first_start: Whether the whole fleet starts, without callers yet. Lists then
            wait for a peer to ask, so that not every instance reads the store.
    """

    def __init__(
        self,
        me: LiveInstance,
        store: ObjectStore,
        clock: Clock,
        choose: Callable[[], LiveInstance | None],
        avoid: Callable[[str], None],
        leads: Callable[[], bool] = lambda: False,
        *,
        is_first_start: bool = False,
    ):
        self._me = me
        self._store = store
        self._clock = clock
        self._choose = choose
        self._avoid = avoid
        self._leads = leads
        now = clock.now()
        self._entries_until = now + ENTRIES_MS if is_first_start else now
        self._patient_until = now + PATIENCE_MS if is_first_start else now
        self._links: Links | None = None
        self._address_by_peer: dict[str, Address] = {}
        self._caches_by_kind = {kind: StoreCache() for kind in Kind}
        self._changed_by_kind = {kind: asyncio.Event() for kind in Kind}
        self._lost_kinds: set[Kind] = set()
        self._tickets = itertools.count(1)
        self._answers_by_ticket: dict[int, asyncio.Future] = {}
        self._tickets_by_peer: dict[str, set[int]] = {}
        self._tasks: set[asyncio.Task] = set()

    def use(self, links: Links) -> None:
        """Take the links over which peers are asked."""
        self._links = links

    def observer(self, kind: Kind) -> _CacheObserver:
        """Return who has to be told of what is followed."""
        cache = self._caches_by_kind[kind]
        return _CacheObserver(kind, cache, self._lost_kinds, self._tell)

    async def list_objects(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        if kind in PATIENT_KINDS:
            await self._wait_for_peers()
        elif kind is Kind.INSTANCES:
            await self._wait_for_entries()
        peer = self._peer()
        if peer is None:
            return await self._store.list_objects(kind)
        answer, age_ms = await self._ask(peer, kind, LIST_REVISION, LIST_WAIT_MS)
        found = [change.object for change in self._read(kind, answer.content)]
        objects_by_name = {stored.name: stored for stored in found}
        return Listing(objects_by_name, answer.revision, age_ms)

    async def watch(self, kind: Kind, revision: int, wait_ms: int) -> Changes:
        """Return what changed after a revision, as soon as there is a change."""
        peer = self._peer()
        if peer is None:
            return await self._store.watch(kind, revision, wait_ms)
        answer, age_ms = await self._ask(peer, kind, revision, wait_ms)
        changes = tuple(self._read(kind, answer.content))
        return Changes(changes, answer.revision, age_ms)

    def on_link_event(self, event: LinkEvent) -> None:
        """Take in what happens on the links."""
        if isinstance(event, PeerDown):
            for ticket in self._tickets_by_peer.pop(event.name, ()):
                self._resolve(ticket, None)
        elif isinstance(event, SendFailed):
            if isinstance(event.envelope.body, StoreAsk):
                self._resolve(event.envelope.body.ticket, None)
        elif isinstance(event, Received):
            body = event.envelope.body
            if isinstance(body, StoreAnswer):
                self._resolve(body.ticket, body)
            elif isinstance(body, StoreAsk):
                task = asyncio.create_task(self._answer(event.peer, body))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop to answer."""
        for task in self._tasks:
            task.cancel()

    async def _wait_for_entries(self) -> None:
        """Wait until the instances that start together have entered themselves."""
        wait_ms = self._entries_until - self._clock.now()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / MS_PER_S)

    async def _wait_for_peers(self) -> None:
        """Wait until it is known whom to ask, but not for long."""
        while self._clock.now() < self._patient_until:
            if self._leads() or self._peer() is not None:
                return
            await asyncio.sleep(PEERS_CHECK_MS / MS_PER_S)

    def _peer(self) -> LiveInstance | None:
        if self._links is None:
            return None
        peer = self._choose()
        wanted = {} if peer is None else {peer.name: peer.report_address}
        # A link goes when the last answer over it has come.
        for name, address in self._address_by_peer.items():
            if self._tickets_by_peer.get(name):
                wanted.setdefault(name, address)
        self._address_by_peer = wanted
        self._links.want(wanted)
        if peer is None or not self._links.is_connected(peer.name):
            return None
        return peer

    async def _ask(
        self, peer: LiveInstance, kind: Kind, revision: int, wait_ms: int
    ) -> tuple[StoreAnswer, int]:
        asked_at = self._clock.now()
        ticket = next(self._tickets)
        answered = asyncio.get_running_loop().create_future()
        self._answers_by_ticket[ticket] = answered
        self._tickets_by_peer.setdefault(peer.name, set()).add(ticket)
        self._send(peer.name, StoreAsk(ticket, kind.value, revision, wait_ms))
        try:
            async with asyncio.timeout((wait_ms + ANSWER_MARGIN_MS) / MS_PER_S):
                answer = await answered
        except TimeoutError:
            answer = None
        finally:
            del self._answers_by_ticket[ticket]
            self._tickets_by_peer.get(peer.name, set()).discard(ticket)
        if answer is not None and answer.problem == HISTORY_GONE:
            raise HistoryExpiredError(f"{kind.value} at {peer.name}")
        if answer is None or answer.problem:
            self._avoid(peer.name)
            cause = "no answer" if answer is None else answer.problem
            raise RelayUnavailableError(f"{peer.name}: {cause}")
        way_ms = self._clock.now() - asked_at - answer.held_ms
        return answer, answer.age_ms + max(0, way_ms)

    def _resolve(self, ticket: int, answer: StoreAnswer | None) -> None:
        future = self._answers_by_ticket.get(ticket)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _answer(self, peer: str, ask: StoreAsk) -> None:
        kind = Kind(ask.kind)
        cache = self._caches_by_kind[kind]
        came_at = self._clock.now()
        is_empty = cache.confirmed_at is None
        if is_empty or cache.changes_after(ask.revision) == ():
            await self._wait_for_change(kind, ask.wait_ms)
        held_ms = self._clock.now() - came_at
        if cache.confirmed_at is None or self._lost_kinds:
            self._send(peer, StoreAnswer(ask.ticket, NOT_FOLLOWED, 0, b"", 0, held_ms))
            return
        if ask.revision == LIST_REVISION:
            objects = cache.all_objects()
        else:
            objects = cache.changes_after(ask.revision)
        if objects is None:
            self._send(peer, StoreAnswer(ask.ticket, HISTORY_GONE, 0, b"", 0, held_ms))
            return
        content = cbor2.dumps([tuple(found) for found in objects])
        answer = StoreAnswer(
            ask.ticket,
            "",
            max(cache.revision, ask.revision),
            zlib.compress(content, COMPRESSION_LEVEL),
            self._clock.now() - cache.confirmed_at,
            held_ms,
        )
        self._send(peer, answer)

    def _tell(self, kinds: Iterable[Kind]) -> None:
        for kind in kinds:
            self._changed_by_kind[kind].set()

    async def _wait_for_change(self, kind: Kind, wait_ms: int) -> None:
        if self._lost_kinds:
            return
        event = self._changed_by_kind[kind]
        event.clear()
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await event.wait()
        except TimeoutError:
            return

    def _send(self, peer: str, body: StoreAsk | StoreAnswer) -> None:
        if self._links is not None:
            me = self._me
            self._links.send(peer, Envelope(me.name, me.incarnation, 0, peer, body))

    def _read(self, kind: Kind, content: bytes) -> list[Change]:
        try:
            entries = [CachedObject(*entry) for entry in _unpack(content)]
        except (zlib.error, cbor2.CBORDecodeError, ValueError, TypeError) as error:
            raise RelayUnavailableError(f"unreadable answer: {error}") from error
        return [self._read_entry(kind, entry) for entry in entries]

    def _read_entry(self, kind: Kind, entry: CachedObject) -> Change:
        stored: StoredObject = self._store.read(kind, entry.document)
        return Change(stored, bool(entry.is_deleted))


def _unpack(content: bytes) -> list:
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(content, CONTENT_BYTES_MAX)
    if not unpacker.eof:
        raise ValueError("too long or cut off")
    return cbor2.loads(unpacked)
