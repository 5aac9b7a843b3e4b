"""Exchange of reports and tokens with other instances over UDP."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.decision_log import DecisionLog
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.outgoing import OutgoingDatagram
from sequoiahook.decisions.direct.requests import Hold, HoldPermit
from sequoiahook.errors import CodecError
from sequoiahook.messages.limits import PermitDenial, PermitGrant
from sequoiahook.messages.reports import Body, TokenDenial, TokenGrant
from sequoiahook.wire.datagrams import (
    DATAGRAM_BYTES_MAX,
    decode_datagram,
    encode_datagram,
)
from sequoiahook.world.instance import LiveInstance

__all__ = ["Reporter"]

SMALL_FLEET_INSTANCES = 12
"""Number of instances up to which reports are sent at the configured interval."""

STARTUP_MS = 1_000
STARTUP_REPORT_MS = 100
"""Interval between the first reports, with which leaders are elected and shares of the
rates granted."""

SERVE_WAITING_INTERVAL_MS = 10
"""Interval at which a leader serves waiting token requests.

It is a small part of the latency goal of any route.
"""

log = logbook.Logger("reports")


class _Subject(NamedTuple):
    """What requests wait for: permits of a target, or tokens of an organisation."""

    is_target: bool
    name: str


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]):
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        # The peer does not listen; missing reports mark it as unresponsive.
        log.debug("report not delivered", extra={"error": str(exc)})


class Reporter:
    """Sends and receives reports and token messages.

    Attributes:
        secret: The fleet's secret, which authenticates datagrams; empty until known.
        on_connectivity_doubted: Called while connectivity to targets is in doubt.

    Args:
        settings: Settings of the instance.
        core: The decisions.
        clock: The clock.
    """

    def __init__(self, settings: DirectSettings, core: DirectCore, clock: Clock):
        self.secret = b""
        self.on_connectivity_doubted: Callable[[], None] = lambda: None
        self._settings = settings
        self._core = core
        self._clock = clock
        self._started_at = clock.now()
        self._transport: asyncio.DatagramTransport | None = None
        self._is_refusal_logged = False
        self._is_serving_scheduled = False
        self._role = ("", False)
        self._are_shares_unused = False
        self._decision_log = DecisionLog(core, clock.now())
        self._futures_by_subject: dict[_Subject, set[asyncio.Future]] = {}

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: If the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._receive),
            local_addr=self._settings.report_address,
        )
        self._transport.max_size = DATAGRAM_BYTES_MAX

    async def run(self) -> None:
        """Send reports until cancelled."""
        durations = self._settings.durations
        far_every = max(1, durations.report_far_ms // durations.report_near_ms)
        round_number = 0
        while True:
            self.send(includes_far=round_number % far_every == 0)
            round_number += 1
            interval_ms = durations.report_near_ms * self._interval_factor()
            if self._clock.now() - self._started_at < STARTUP_MS:
                interval_ms = STARTUP_REPORT_MS
            await asyncio.sleep(interval_ms / MS_PER_S)

    def _interval_factor(self) -> float:
        """Return the factor by which the report interval exceeds a small fleet's.

        At a fixed interval the number of reports would grow with the square of the
        number of groups, or of a group's members; with this factor it grows linearly.
        """
        groups = self._core.fleet.groups
        count = max(len(groups.names), len(groups.members))
        return max(1.0, count / SMALL_FLEET_INSTANCES)

    def send(self, *, includes_far: bool) -> None:
        """Send the reports that are due, and token requests, at once."""
        now = self._clock.now()
        for target_id in self._core.tick(now):
            log.info("target expired", extra={"target": target_id})
        self._log_role(now)
        self._log_lease()
        self._decision_log.write(now)
        self.send_token_requests()
        self._send_all(self._core.reports(now, includes_far=includes_far))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def send_token_requests(self) -> None:
        """Send the messages to peers that do not wait for the next report."""
        now = self._clock.now()
        self._send_all(self._core.token_requests(now))
        if self._core.connectivity.is_active(now):
            self.on_connectivity_doubted()

    async def wait(self, hold: Hold | HoldPermit) -> None:
        """Wait for a token or permit message, up to the hold's max wait."""
        future = asyncio.get_running_loop().create_future()
        subject = _Subject(isinstance(hold, HoldPermit), hold[0])
        futures = self._futures_by_subject.setdefault(subject, set())
        futures.add(future)
        try:
            async with asyncio.timeout(hold.max_wait_ms / MS_PER_S):
                await future
        except TimeoutError:
            return  # The caller decides again with the tokens there are by then.
        finally:
            futures.discard(future)
            if not futures:
                self._futures_by_subject.pop(subject, None)

    def _schedule_serving(self) -> None:
        if self._core.rates.has_waiting and not self._is_serving_scheduled:
            self._is_serving_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(SERVE_WAITING_INTERVAL_MS / MS_PER_S, self._serve_waiting)

    def _serve_waiting(self) -> None:
        self._is_serving_scheduled = False
        self._send_all(self._core.serve_waiting(self._clock.now()))
        self.send_token_requests()
        self._schedule_serving()

    def _log_role(self, now: int) -> None:
        groups = self._core.fleet.groups
        role = (groups.vote, groups.is_leader(now))
        if groups.is_divided and role != self._role:
            self._role = role
            fields = {"group": groups.own_name, "vote": role[0], "is_keeper": role[1]}
            log.info("keeper", extra=fields)

    def _log_lease(self) -> None:
        is_unused = not self._core.fleet.lease.is_valid
        if is_unused != self._are_shares_unused:
            self._are_shares_unused = is_unused
            log.info("shares unused", extra={"is_unused": is_unused})

    def _send_all(self, outgoing: Sequence[OutgoingDatagram]) -> None:
        if not self.secret:
            return
        # A datagram that goes to several instances is encoded once.
        data_by_id: dict[tuple[str, int], bytes] = {}
        for name, datagram in outgoing:
            instance = self._core.peers.instances_by_name.get(name)
            if instance is None:
                continue
            datagram_id = (datagram.sender, datagram.sequence)
            if datagram_id not in data_by_id:
                data_by_id[datagram_id] = encode_datagram(datagram, self.secret)
            self._send_to(instance, data_by_id[datagram_id])

    def _send_to(self, instance: LiveInstance, data: bytes) -> None:
        if len(data) <= DATAGRAM_BYTES_MAX:
            self._transport.sendto(data, instance.report_address)
        else:
            log.error("datagram too large", extra={"bytes": len(data)})

    def _receive(self, data: bytes) -> None:
        if not self.secret:
            return
        try:
            datagram = decode_datagram(data, self.secret)
        except CodecError as error:
            if not self._is_refusal_logged:
                log.warning("datagram refused", extra={"error": str(error)})
            self._is_refusal_logged = True
            return
        self._send_all(self._core.receive(datagram, self._clock.now()))
        self._schedule_serving()
        subject = _subject(datagram.body)
        for future in self._futures_by_subject.get(subject, ()):
            if not future.done():
                future.set_result(None)


def _subject(body: Body) -> _Subject | None:
    """Return whose waiting requests a message concerns; None for other messages."""
    if isinstance(body, TokenGrant | TokenDenial):
        return _Subject(False, body.organisation)
    if isinstance(body, PermitGrant | PermitDenial):
        return _Subject(True, body.target)
    return None
