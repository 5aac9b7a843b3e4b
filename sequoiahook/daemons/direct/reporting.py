"""The task that exchanges reports with other instances over UDP."""

import asyncio
import contextlib
from collections.abc import Callable

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.errors import CodecError
from sequoiahook.messages.reports import Datagram, TokenGrant
from sequoiahook.wire.datagrams import (
    DATAGRAM_BYTES_MAX,
    decode_datagram,
    encode_datagram,
)

__all__ = ["Reporter"]

SMALL_FLEET = 12
"""Instances up to which reports are sent as often as the settings say."""

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
        self._tokens_came = asyncio.Event()

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

        Their number grows with the square of the instances; so it grows linearly.
        """
        count = len(self._core.peers.instances_by_name) + 1
        return max(1.0, count / SMALL_FLEET)

    def send(self, *, includes_far: bool) -> None:
        """Send a report to each instance, at once."""
        now = self._clock.now()
        for gone in self._core.tick(now):
            log.info("target gone", extra={"target": gone})
        if not self.secret:
            return
        self.send_asks()
        for name, instance in self._core.peers.instances_by_name.items():
            is_near = instance.region == self._core.me.region
            if is_near or includes_far:
                self._send_to(name, self._core.report_for(name, now))

    def close(self) -> None:
        """Stop to listen."""
        if self._transport is not None:
            self._transport.close()

    def send_asks(self) -> None:
        """Ask peers for tokens where buckets run low."""
        for name, ask in self._core.quota.take_asks():
            self._send_to(name, self._core.datagram(ask))

    async def wait_for_tokens(self, longest_ms: int) -> None:
        """Wait until a peer has sent tokens, but not for longer than a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_ms / MS_PER_S):
                await self._tokens_came.wait()

    def _send_to(self, name: str, datagram: Datagram) -> None:
        instance = self._core.peers.instances_by_name.get(name)
        if instance is None or not self.secret:
            return
        data = encode_datagram(datagram, self.secret)
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
        answer = self._core.take(datagram, self._clock.now())
        if answer is not None:
            self._send_to(datagram.sender, answer)
        if isinstance(datagram.body, TokenGrant):
            self._tokens_came.set()
            self._tokens_came.clear()
