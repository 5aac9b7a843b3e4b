"""The task that exchanges reports with other instances over UDP."""

import asyncio
from collections.abc import Callable, Sequence

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.fleet import OutgoingDatagram
from sequoiahook.decisions.direct.requests import Hold
from sequoiahook.errors import CodecError
from sequoiahook.messages.reports import TokenDenial, TokenGrant
from sequoiahook.wire.datagrams import (
    DATAGRAM_BYTES_MAX,
    decode_datagram,
    encode_datagram,
)
from sequoiahook.world.instance import LiveInstance

__all__ = ["Reporter"]

SMALL_FLEET = 12
"""Instances up to which reports are sent as often as the settings say."""

SERVE_WAITING_MS = 10
"""How often a keeper looks at asks that wait, a small part of any request's aim."""

log = logbook.Logger("reports")


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]):
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._take(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that does not listen; its silence is what counts.
        log.debug("report not delivered", extra={"error": str(exc)})


class Reporter:
    """Sends and takes reports.

    Args:
        settings: Settings of the instance.
        core: The decisions.
        clock: The time.
    """

    def __init__(self, settings: DirectSettings, core: DirectCore, clock: Clock):
        self.secret = b""
        self._settings = settings
        self._core = core
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._is_bad_seen = False
        self._is_serving_waiting = False
        self._role = ("", False)
        self._waiting_by_organisation: dict[str, set[asyncio.Future]] = {}

    async def start(self) -> None:
        """Begin to listen.

        Raises:
            OSError: If the address cannot be had.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._receive),
            local_addr=self._settings.report_address,
        )

    async def run(self) -> None:
        """Send reports for ever."""
        durations = self._settings.durations
        far_every = max(1, durations.report_far_ms // durations.report_near_ms)
        round_number = 0
        while True:
            self.send(includes_far=round_number % far_every == 0)
            round_number += 1
            await asyncio.sleep(durations.report_near_ms * self._spread() / MS_PER_S)

    def _spread(self) -> float:
        """Return how many times rarer reports are than in a small fleet.

        Their number grows with the square of the groups, or of a group's members; so
        it grows linearly.
        """
        groups = self._core.fleet.groups
        count = max(len(groups.names), len(groups.members))
        return max(1.0, count / SMALL_FLEET)

    def send(self, *, includes_far: bool) -> None:
        """Send a report to each instance, at once."""
        now = self._clock.now()
        for gone in self._core.tick(now):
            log.info("target gone", extra={"target": gone})
        self._log_keeper(now)
        self.send_asks()
        self._send_all(self._core.reports(now, includes_far=includes_far))

    def close(self) -> None:
        """Stop to listen."""
        if self._transport is not None:
            self._transport.close()

    def send_asks(self) -> None:
        """Ask peers for tokens where buckets run low."""
        self._send_all(self._core.token_requests(self._clock.now()))

    async def wait_for_tokens(self, hold: Hold) -> None:
        """Wait until there is news of an organisation's tokens, within a time."""
        came = asyncio.get_running_loop().create_future()
        waiting = self._waiting_by_organisation.setdefault(hold.organisation, set())
        waiting.add(came)
        try:
            async with asyncio.timeout(hold.max_wait_ms / MS_PER_S):
                await came
        except TimeoutError:
            return  # The decision is taken again with what is known by then.
        finally:
            waiting.discard(came)

    def _serve_waiting_soon(self) -> None:
        if self._core.rates.has_waiting and not self._is_serving_waiting:
            self._is_serving_waiting = True
            loop = asyncio.get_running_loop()
            loop.call_later(SERVE_WAITING_MS / MS_PER_S, self._serve_waiting)

    def _serve_waiting(self) -> None:
        self._is_serving_waiting = False
        self._send_all(self._core.serve_waiting(self._clock.now()))
        self.send_asks()
        self._serve_waiting_soon()

    def _log_keeper(self, now: int) -> None:
        groups = self._core.fleet.groups
        role = (groups.vote, groups.is_leader(now))
        if groups.is_divided and role != self._role:
            self._role = role
            fields = {"group": groups.own_name, "vote": role[0], "is_keeper": role[1]}
            log.info("keeper", extra=fields)

    def _send_all(self, sendings: Sequence[OutgoingDatagram]) -> None:
        if not self.secret:
            return
        # A datagram that goes to several instances is encoded once.
        data_by_id: dict[tuple[str, int], bytes] = {}
        for name, datagram in sendings:
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
            if not self._is_bad_seen:
                log.warning("datagram refused", extra={"error": str(error)})
            self._is_bad_seen = True
            return
        self._send_all(self._core.receive(datagram, self._clock.now()))
        self._serve_waiting_soon()
        body = datagram.body
        if isinstance(body, TokenGrant | TokenDenial):
            for came in self._waiting_by_organisation.get(body.organisation, ()):
                if not came.done():
                    came.set_result(None)
