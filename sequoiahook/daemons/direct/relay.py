"""Relaying the platform's store from one instance of a region to the others.

The store prices each call, so few instances of a region read it themselves. The others
send the same calls over a link to the one that ranks first. An answer reports the age
of its sender's data, and the round trip is added to that age, so that a slow link or a
suspended process never makes data look younger than it is.
"""

import asyncio
import itertools
from collections.abc import Awaitable
from typing import TypeVar

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
from sequoiahook.daemons.direct.relay_answers import (
    HISTORY_GONE,
    LIST_NUMBER,
    RelayAnswers,
)
from sequoiahook.daemons.direct.relay_cache import CacheObserver
from sequoiahook.daemons.direct.relay_choice import RelayChoice
from sequoiahook.daemons.direct.relay_content import decode_objects
from sequoiahook.daemons.links import (
    LinkEvent,
    Links,
    PeerDown,
    Received,
    SendFailed,
)
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.decisions.direct.store_cache import CachedObject
from sequoiahook.errors import (
    CodecError,
    HistoryExpiredError,
    PlatformError,
    RelayUnavailableError,
)
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.relay import (
    StoreAnswer,
    StoreAsk,
    StoreRead,
    StoreReadAnswer,
)
from sequoiahook.world.instance import Address, LiveInstance

__all__ = ["Relay"]

ANSWER_MARGIN_MS = 500
"""Added to the wait of a request; a round trip inside a region takes about 2 ms."""

LIST_WAIT_MS = 1_000
"""How long a peer without a list waits for its own list before it answers."""

PEERS_CHECK_MS = 20
PEERS_MAX_WAIT_MS = 3_000
"""All instances start within 0.3 s; callers come about 10 s later."""

REPORTS_WAIT_MS = 200
REPORTS_MAX_WAIT_MS = 500
"""Times after a restart in which the reports of peers in the region arrive: of others
that restart, and of all."""

RANK_WAIT_MS = 200
RANK_MAX = 4
"""The instances of a region that restarts read the store one after the other by their
rank, until one of them relays it; those beyond this rank at the same time."""

CONFIGURED_PEERS_WAIT_MS = 1_500
"""Time after a restart in which peers that have a configuration confirm it again if the
store was unavailable."""

LINK_WAIT_MS = 300
"""Longest wait for the link to a peer that can relay."""

LINK_SILENT_MS = 1_000
"""Time without a message after which a link is dialled anew before it is used.

A link over which an instance reads carries an answer at least every 700 ms.
"""

ENTRIES_WAIT_MS = 700
"""Time in which all instances of a first start create their entries in the store."""

UNAWAITED_KINDS = frozenset({Kind.INSTANCES, Kind.SECRETS})
"""Kinds without whose list no peer can be found."""

T = TypeVar("T")

log = logbook.Logger("relay")


class Relay:
    """Reads the store through a peer of the region, and answers peers' requests.

    Args:
        me: This instance.
        store: The store itself.
        clock: The clock.
        choice: Decides through which peer to read.
        is_first_start: Whether the whole fleet starts, without callers yet. Lists then
            wait until a peer is available, so that not every instance reads the store.
    """

    def __init__(
        self,
        me: LiveInstance,
        store: ObjectStore,
        clock: Clock,
        choice: RelayChoice,
        *,
        is_first_start: bool = False,
    ):
        self._me = me
        self._store = store
        self._clock = clock
        self._choice = choice
        self._is_first_start = is_first_start
        self._started_at = self._joined_at = clock.now()
        self._has_listed_instances = is_first_start
        self._links: Links | None = None
        self._address_by_peer: dict[str, Address] = {}
        self._answers = RelayAnswers(clock)
        self._unanswered_kinds: set[Kind] = set()
        self._tickets = itertools.count(1)
        self._answers_by_ticket: dict[int, asyncio.Future] = {}
        self._kinds_by_ticket_by_peer: dict[str, dict[int, Kind]] = {}
        self._tasks: set[asyncio.Task] = set()

    def set_links(self, links: Links) -> None:
        """Set the links over which peers are reached, once this instance may report."""
        self._links = links
        if not self._is_first_start:
            self._joined_at = self._clock.now()

    def cache_observer(self, kind: Kind) -> CacheObserver:
        """Return the observer with which a follower updates the cache of a kind."""
        return self._answers.cache_observer(kind)

    async def list_objects(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        if kind is Kind.INSTANCES:
            await self._wait_for_entries()
        peer = None
        if kind not in UNAWAITED_KINDS:
            peer = await self._source_of(kind)
        if peer is None:
            return await self._call_store(self._list_store(kind))
        all_of_era = Revision(self._answers.newest_era, LIST_NUMBER)
        answer, age_ms = await self._request(peer, kind, all_of_era, LIST_WAIT_MS)
        changes = self._decode_changes(kind, peer.name, answer.content)
        objects_by_name = {change.object.name: change.object for change in changes}
        revision = Revision(answer.era, answer.revision)
        return Listing(objects_by_name, revision, age_ms, peer.name)

    async def watch(self, kind: Kind, revision: Revision, wait_ms: int) -> Changes:
        """Return the changes after a revision, as soon as there is one."""
        peer = await self._source_of(kind)
        if peer is None:
            return await self._call_store(self._store.watch(kind, revision, wait_ms))
        answer, age_ms = await self._request(peer, kind, revision, wait_ms)
        if answer.era != revision.era:
            raise HistoryExpiredError(f"{kind.value}: {peer.name} is in another era")
        changes = tuple(self._decode_changes(kind, peer.name, answer.content))
        new_revision = Revision(answer.era, answer.revision)
        return Changes(changes, new_revision, age_ms, peer.name)

    def on_link_event(self, event: LinkEvent) -> None:
        """Process an event of the links."""
        if isinstance(event, PeerDown):
            for ticket in self._kinds_by_ticket_by_peer.pop(event.name, ()):
                self._resolve(ticket, None)
        elif isinstance(event, SendFailed):
            if isinstance(event.envelope.body, StoreRead):
                self._resolve(event.envelope.body.ticket, None)
        elif isinstance(event, Received):
            body = event.envelope.body
            if isinstance(body, StoreReadAnswer):
                self._resolve(body.ticket, body)
            elif isinstance(body, StoreRead | StoreAsk):
                task = asyncio.create_task(self._answer(event.peer, body))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop answering peers."""
        for task in self._tasks:
            task.cancel()

    def _list_store(self, kind: Kind) -> Awaitable[Listing]:
        # After a restart an older list of instances is enough to find peers, and the
        # changes since are watched. If their history is gone, the list must be newer.
        is_instances = kind is Kind.INSTANCES
        may_be_stale = is_instances and not self._has_listed_instances
        self._has_listed_instances |= is_instances
        return self._store.list_objects(kind, may_be_stale=may_be_stale)

    async def _call_store(self, call: Awaitable[T]) -> T:
        """Call the store; if it fails, read through peers for a while."""
        try:
            result = await call
        except HistoryExpiredError:
            raise
        except PlatformError:
            self._choice.avoid(self._me.name)
            raise
        self._answers.is_relayed = False
        return result

    async def _wait_for_entries(self) -> None:
        """Wait until the instances that start together have created their entries."""
        if not self._is_first_start:
            return
        wait_ms = self._started_at + ENTRIES_WAIT_MS - self._clock.now()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / MS_PER_S)

    async def _source_of(self, kind: Kind) -> LiveInstance | None:
        """Return the peer from which to read a kind next; None for the store.

        After a peer that did not answer in time comes the store, since the next peer
        may cost another time-out. A link that has ended leads to the next peer.
        """
        if kind in self._unanswered_kinds:
            self._unanswered_kinds.discard(kind)
            return None
        return await self._relaying_peer()

    async def _relaying_peer(self) -> LiveInstance | None:
        """Return the peer to read from, after a limited wait; None for the store."""
        awaited, link_until = "", 0
        while True:
            peer = self._connected_peer()
            if peer is not None:
                return peer
            now = self._clock.now()
            candidate = self._choice.peer() if self._links is not None else None
            if candidate is None and now >= self._reads_store_from():
                return None
            if candidate is not None and candidate.name != awaited:
                awaited, link_until = candidate.name, now + LINK_WAIT_MS
            if candidate is not None and now >= link_until:
                self._choice.avoid(candidate.name)
                return None
            await asyncio.sleep(PEERS_CHECK_MS / MS_PER_S)

    def _reads_store_from(self) -> int:
        """Return from when this instance reads the store if no peer relays it."""
        choice = self._choice
        if self._is_first_start:
            wait_ms = 0 if choice.leads_region() else PEERS_MAX_WAIT_MS
        elif choice.awaits_peers():
            wait_ms = CONFIGURED_PEERS_WAIT_MS
        else:
            has_all = choice.has_all_reports()
            reports_ms = REPORTS_WAIT_MS if has_all else REPORTS_MAX_WAIT_MS
            wait_ms = reports_ms + RANK_WAIT_MS * min(choice.rank(), RANK_MAX)
        return self._joined_at + wait_ms

    def _connected_peer(self) -> LiveInstance | None:
        if self._links is None:
            return None
        peer = self._choice.peer()
        wanted = {} if peer is None else {peer.name: peer.report_address}
        # Keep a link until the last answer over it has arrived.
        for name, address in self._address_by_peer.items():
            if self._kinds_by_ticket_by_peer.get(name):
                wanted.setdefault(name, address)
        self._address_by_peer = wanted
        if peer is not None:
            self._links.drop(peer.name, silent_ms=LINK_SILENT_MS)
        self._links.set_peers(wanted)
        if peer is None or not self._links.is_connected(peer.name):
            return None
        return peer

    async def _request(
        self, peer: LiveInstance, kind: Kind, revision: Revision, wait_ms: int
    ) -> tuple[StoreReadAnswer, int]:
        sent_at = self._clock.now()
        ticket = next(self._tickets)
        pending_answer = asyncio.get_running_loop().create_future()
        self._answers_by_ticket[ticket] = pending_answer
        kinds_by_ticket = self._kinds_by_ticket_by_peer.setdefault(peer.name, {})
        kinds_by_ticket[ticket] = kind
        self._send(peer.name, StoreRead(ticket, kind.value, *revision, wait_ms))
        try:
            async with asyncio.timeout((wait_ms + ANSWER_MARGIN_MS) / MS_PER_S):
                answer = await pending_answer
        except TimeoutError:
            answer = None
            # The reads of other kinds wait for the same peer, some of them for longer.
            self._unanswered_kinds.update(kinds_by_ticket.values())
            self._links.drop(peer.name)
        finally:
            del self._answers_by_ticket[ticket]
            kinds_by_ticket.pop(ticket, None)
        if answer is not None and answer.problem == HISTORY_GONE:
            raise HistoryExpiredError(f"history of {kind.value} expired at {peer.name}")
        if answer is None or answer.problem:
            if answer is None or not self._choice.awaits_peers():
                self._choice.avoid(peer.name)
            else:
                # No other peer may have the configuration.
                await asyncio.sleep(REPORTS_WAIT_MS / MS_PER_S)
            cause = "no answer" if answer is None else answer.problem
            raise RelayUnavailableError(f"{peer.name}: {cause}")
        self._answers.is_relayed = True
        round_trip_ms = self._clock.now() - sent_at - answer.held_ms
        return answer, answer.age_ms + max(0, round_trip_ms)

    def _resolve(self, ticket: int, answer: StoreReadAnswer | None) -> None:
        future = self._answers_by_ticket.get(ticket)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _answer(self, peer: str, request: StoreRead | StoreAsk) -> None:
        self._send(peer, await self._answers.answer(request))

    def _send(self, peer: str, body: StoreRead | StoreReadAnswer | StoreAnswer) -> None:
        if self._links is not None:
            me = self._me
            self._links.send(peer, Envelope(me.name, me.incarnation, 0, peer, body))

    def _decode_changes(self, kind: Kind, peer: str, content: bytes) -> list[Change]:
        try:
            entries = decode_objects(content)
        except CodecError as error:
            self._choice.avoid(peer)
            raise RelayUnavailableError(f"unreadable answer: {error}") from error
        return [self._decode_entry(kind, entry) for entry in entries]

    def _decode_entry(self, kind: Kind, entry: CachedObject) -> Change:
        stored: StoredObject = self._store.decode_object(kind, entry.document)
        return Change(stored._replace(name=entry.name), entry.is_deleted)
