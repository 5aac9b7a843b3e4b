"""Handing requests over to other instances while connectivity to targets is lost.

Both sides run on every instance: the entry for requests of its own callers, and the
executor for requests of other instances.
"""

import asyncio
import itertools
import random
from collections.abc import Callable

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.caller_limits import CallerLimits
from sequoiahook.daemons.direct.executions import Executions
from sequoiahook.daemons.direct.probing import Prober
from sequoiahook.daemons.direct.request_runner import RequestRunner
from sequoiahook.daemons.held_answers import (
    HELD_BYTES_MIN,
    AnswerMemory,
    HeldAnswers,
)
from sequoiahook.daemons.links import (
    LinkEvent,
    Links,
    LinksSettings,
    PeerDown,
    PeerUp,
    Received,
    SendFailed,
)
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.handed_over import (
    ENTRY_SETTINGS,
    admitted_request,
    run_terms,
)
from sequoiahook.decisions.direct.requests import (
    Cause,
    ForwardToPeer,
    HandoverOutcome,
)
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import (
    Answer,
    Commit,
    Refusal,
    Release,
    Reserve,
)
from sequoiahook.decisions.exchange.entry import EntryExchanges
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.decisions.pool.effects import RefuseReason
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.direct_requests import DirectHandOver
from sequoiahook.messages.requests import (
    RAN,
    UNKNOWN,
    HandOver,
    Outcome,
    StampGrant,
    StampRequest,
)
from sequoiahook.wire.codec import ENVELOPE_BYTES_MAX

__all__ = ["Handovers"]

TICK_MS = 50
PING_MS = 150
SILENT_MS = 600
"""Time without a message after which a link to an executor counts as lost."""

AVOIDING_REASONS = frozenset({RefuseReason.BUSY, Reason.UNREACHABLE})

log = logbook.Logger("handovers")


class _Waiting:
    """A request of a caller that was handed over.

    Attributes:
        step: The step that hands it over.
        held: Counts its answer.
        outcome: Future of its outcome.
        peer: Name of the instance that it was last sent to; empty before.
        is_caller_gone: Whether nobody waits for the outcome any more.
    """

    def __init__(self, step: ForwardToPeer, held: HeldAnswers, outcome: asyncio.Future):
        self.step = step
        self.held = held
        self.outcome = outcome
        self.peer = ""
        self.is_caller_gone = False


class Handovers:
    """Hands requests over to peers, and runs those that peers hand over.

    Args:
        core: The decisions.
        runner: Runs open requests.
        prober: Opens connections to targets.
        send_messages: Sends the messages to peers that are due.
        clock: The clock.
        limits: Limits on the requests that peers hand over, and on their links.
        answers: Counts the answers that the process holds.
    """

    def __init__(
        self,
        core: DirectCore,
        runner: RequestRunner,
        prober: Prober,
        send_messages: Callable[[], None],
        clock: Clock,
        limits: CallerLimits,
        answers: AnswerMemory,
    ):
        me = core.me
        self._core = core
        self._limits = limits
        self._prober = prober
        self._send_messages = send_messages
        self._clock = clock
        rng = random.Random()
        self._entry = EntryExchanges(ENTRY_SETTINGS, me.name, me.incarnation, rng)
        self._executions = Executions(
            core, runner, clock, self._send, limits.execution_bytes_max, answers
        )
        self._links: Links | None = None
        self._numbers = itertools.count(1)
        self._waiting_by_number: dict[int, _Waiting] = {}
        self._heard_at_by_peer: dict[str, int] = {}
        self._pinged_at = 0
        self._wake = asyncio.Event()
        runner.forward = self.forward

    @property
    def execution_count(self) -> int:
        """Number of requests of peers without an acknowledged outcome."""
        return self._executions.open_count

    async def run(self, secret: str) -> None:
        """Accept links and handle what is due, until cancelled.

        Args:
            secret: Secret of the fleet.

        Raises:
            OSError: If the address cannot be bound.
        """
        me = self._core.me
        self._links = Links(
            LinksSettings(
                me.name,
                me.incarnation,
                secret,
                me.handover_address,
                self._limits.unauthenticated_max,
            ),
            self._on_link_event,
        )
        await self._links.start()
        while True:
            await self._wake.wait()
            self._wake.clear()
            # Nothing was expected on the links while nothing was due.
            now = self._clock.now()
            self._heard_at_by_peer = dict.fromkeys(self._heard_at_by_peer, now)
            while self._is_active():
                due_at = self._clock.now() + TICK_MS
                await asyncio.sleep(TICK_MS / MS_PER_S)
                now = self._clock.now()
                self._tick(now - due_at, now)
            self._links.set_peers({})

    async def close(self) -> None:
        """Stop all executions and close the links."""
        self._prober.close()
        self._executions.close()
        if self._links is not None:
            await self._links.stop()

    def wake(self) -> None:
        """Handle what is due, from now on."""
        self._wake.set()

    async def forward(self, step: ForwardToPeer, held: HeldAnswers) -> HandoverOutcome:
        """Hand a request over and return the outcome.

        Args:
            step: The step that hands it over.
            held: Counts the answer.

        Raises:
            asyncio.CancelledError: If the task is cancelled; the request is then
                cancelled at the other instance, too.
        """
        number = next(self._numbers)
        outcome = asyncio.get_running_loop().create_future()
        waiting = _Waiting(step, held, outcome)
        self._waiting_by_number[number] = waiting
        request = admitted_request(step, number, self._core.configuration_number)
        now = self._clock.now()
        self._apply(self._entry.admit(request, step.candidates, now))
        self._wake.set()
        try:
            return await outcome
        except asyncio.CancelledError:
            waiting.is_caller_gone = True
            self._apply(self._entry.caller_gone(number, self._clock.now()))
            raise

    def _is_active(self) -> bool:
        is_doubted = self._core.connectivity.is_active(self._clock.now())
        return is_doubted or bool(self._entry.open_count + self._executions.open_count)

    def _tick(self, lag_ms: int, now: int) -> None:
        connectivity = self._core.connectivity
        connectivity.update(now)
        self._log_events()
        self._prober.start(now)
        self._send_messages()
        if not connectivity.is_available(now):
            self._links.set_peers(connectivity.reach.link_addresses(now))
        elif not self._entry.open_count:
            self._links.set_peers({})
        self._check_links(now)
        self._apply(self._entry.tick(now))
        self._executions.tick(lag_ms, now)

    def _log_events(self) -> None:
        for event in self._core.connectivity.pop_events():
            fields = event._asdict()
            if fields.pop("is_lost"):
                # Open connections may hang; requests that use them would wait in vain.
                self._prober.close_idle_connections()
                log.info("connectivity to targets lost", extra=fields)
            else:
                log.info("connectivity to targets regained", extra=fields)

    def _check_links(self, now: int) -> None:
        """Treat links to executors on which nothing arrives as lost."""
        linked = self._core.connectivity.reach.linked
        for name in [n for n in linked if self._is_silent(n, now)]:
            log.info("link silent", extra={"peer": name})
            linked.discard(name)
            self._apply(self._entry.peer_lost(name, now))
        if now - self._pinged_at >= PING_MS:
            self._pinged_at = now
            for name in list(self._heard_at_by_peer):
                self._send(name, StampRequest())

    def _is_silent(self, name: str, now: int) -> bool:
        return now - self._heard_at_by_peer.get(name, now) > SILENT_MS

    def _on_link_event(self, event: LinkEvent) -> None:
        now = self._clock.now()
        if isinstance(event, Received):
            self._on_heard(event.peer, now)
            self._receive(event.peer, event.envelope.body, now)
        elif isinstance(event, PeerUp):
            self._executions.on_peer_up(event.name, event.incarnation, now)
            self._on_heard(event.name, now)
        elif isinstance(event, PeerDown):
            self._heard_at_by_peer.pop(event.name, None)
            self._core.connectivity.reach.linked.discard(event.name)
            self._apply(self._entry.peer_lost(event.name, now))
        elif isinstance(event, SendFailed):
            body = event.envelope.body
            if isinstance(body, DirectHandOver):
                message_id, reason = body.handover.id, Reason.LINK_FULL
                self._apply(self._entry.send_rejected(message_id, reason, now))
        self._wake.set()

    def _on_heard(self, peer: str, now: int) -> None:
        self._heard_at_by_peer[peer] = now
        linked = self._core.connectivity.reach.linked
        if peer not in linked:
            linked.add(peer)
            self._apply(self._entry.peer_up(peer, now))

    def _receive(self, peer: str, body: tuple, now: int) -> None:
        if isinstance(body, Outcome | StampGrant):
            if isinstance(body, Outcome) and body.reason in AVOIDING_REASONS:
                self._core.connectivity.reach.avoid(peer, now)
            self._apply(self._entry.received(peer, body, now))
        else:
            self._executions.receive(peer, body, now)

    def _apply(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send_for_entry(effect)
            elif isinstance(effect, Answer):
                status, headers, body = effect[1:]
                self._finish(effect.number, RAN, status, headers, body)
            elif isinstance(effect, Refusal):
                cause, ran, retry_after_ms = effect[2:]
                self._finish(effect.number, ran, 0, (), b"", cause, retry_after_ms)
            elif isinstance(effect, Reserve):
                self._reserve(effect.number)
            elif isinstance(effect, Commit | Release):
                self._settle(effect.reservation, is_unused=isinstance(effect, Release))

    def _send_for_entry(self, send: Send) -> None:
        body = send.body
        if isinstance(body, HandOver):
            number = self._entry.candidate_position(body.id).number
            waiting = self._waiting_by_number[number]
            waiting.peer = send.destination
            body = DirectHandOver(body, run_terms(waiting.step))
        self._send(send.destination, body)

    def _finish(self, number: int, *outcome) -> None:
        waiting = self._waiting_by_number.pop(number)
        if waiting.outcome.done():
            return
        result = HandoverOutcome(waiting.peer, *outcome)
        waiting.held.add(len(result.body))
        if len(result.body) > HELD_BYTES_MIN and waiting.held.is_over_limit:
            # The other answers are complete, and wait for their callers.
            waiting.held.add(-len(result.body))
            result = HandoverOutcome(waiting.peer, UNKNOWN, cause=Cause.FAILED)
        waiting.outcome.set_result(result)

    def _reserve(self, number: int) -> None:
        """Reply whether a request that may have run may be sent once more."""
        now = self._clock.now()
        request = self._waiting_by_number[number].step.request
        if self._core.attempts.spend_retry(request, now):
            lease_ms = max(0, request.deadline_at - now)
            self._apply(self._entry.reserved(number, number, lease_ms, now))
        else:
            self._apply(self._entry.not_reserved(number, 0, now))

    def _settle(self, number: int, *, is_unused: bool) -> None:
        """Return the token of a request that nobody waits for and that did not run."""
        waiting = self._waiting_by_number.get(number)
        if waiting is None or not waiting.is_caller_gone:
            return
        del self._waiting_by_number[number]
        request = waiting.step.request
        if is_unused and not request.may_have_run:
            self._core.attempts.return_token(request, self._clock.now())

    def _send(self, peer: str, body: tuple) -> None:
        me = self._core.me
        if self._links is None:
            return
        envelope = Envelope(me.name, me.incarnation, 0, peer, body)
        if _is_too_large(body):
            self._on_link_event(SendFailed(peer, envelope))
        else:
            self._links.send(peer, envelope)


def _is_too_large(body: tuple) -> bool:
    """Return whether a message cannot be encoded, which would copy it to find out."""
    if not isinstance(body, DirectHandOver):
        return False
    return len(body.handover.body) > ENVELOPE_BYTES_MAX
