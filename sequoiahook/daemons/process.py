"""Runs one instance as a process of its own."""

import asyncio
import signal
import sys

import logbook

from sequoiahook.clock import MonotonicClock
from sequoiahook.daemons.instance import InstanceDaemon
from sequoiahook.daemons.logs import log_to_stderr
from sequoiahook.daemons.settings import InstanceSettings

__all__ = ["run_instance"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = logbook.Logger(__name__)


def run_instance(settings: InstanceSettings, log_level: str) -> None:
    """Run an instance until it has stopped gracefully.

    SIGTERM and SIGINT start the stop; a second signal shortens its waits.

    Raises:
        OSError: If an address cannot be bound.
        SystemExit: If the instance ended with an exit code other than 0.
    """
    log_to_stderr(settings.name, log_level)
    code = asyncio.run(_run(settings))
    if code:
        sys.exit(code)


async def _run(settings: InstanceSettings) -> int:
    daemon = InstanceDaemon(settings, MonotonicClock())
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, daemon.stop)
    return await daemon.run()
