"""The task that exchanges reports with other instances over UDP."""

import asyncio
from collections.abc import Callable

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.errors import CodecError
from sequoiahook.wire.reports import DATAGRAM_BYTES_MAX, decode_report, encode_report
from sequoiahook.world.instance import Address

__all__ = ["Reporter"]

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
            await asyncio.sleep(durations.report_near_ms / MS_PER_S)

    def send(self, *, includes_far: bool) -> None:
        """Send a report to each instance, at once."""
        now = self._clock.now()
        for gone in self._core.tick(now):
            log.info("target gone", extra={"target": gone})
        if not self.secret:
            return
        for name, instance in self._core.peers.instances_by_name.items():
            is_near = instance.region == self._core.me.region
            if is_near or includes_far:
                report = self._core.report_for(name, now)
                self._send_to(instance.report_address, report)

    def close(self) -> None:
        """Stop to listen."""
        if self._transport is not None:
            self._transport.close()

    def _send_to(self, address: Address, report) -> None:
        datagram = encode_report(report, self.secret)
        if len(datagram) <= DATAGRAM_BYTES_MAX:
            self._transport.sendto(datagram, address)
        else:
            log.error("report too large", extra={"bytes": len(datagram)})

    def _receive(self, datagram: bytes) -> None:
        if not self.secret:
            return
        try:
            report = decode_report(datagram, self.secret)
        except CodecError as error:
            if not self._is_bad_seen:
                log.warn("report refused", extra={"error": str(error)})
            self._is_bad_seen = True
            return
        self._core.take_report(report, self._clock.now())
