"""Entry point of an instance on the platform: ``python -m sequoiahook.platform``."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import logbook

from sequoiahook.clock import MS_PER_S, BootClock
from sequoiahook.daemons.allocator import return_large_blocks
from sequoiahook.daemons.direct.components import InstanceComponents
from sequoiahook.daemons.direct.instance import DirectInstance
from sequoiahook.daemons.line_writer import LineWriter, LineWriterSettings
from sequoiahook.daemons.logs import BoundedLinesHandler, redirect_library_logs
from sequoiahook.errors import CheckError
from sequoiahook.platform.dialect import CallerDialect, PlatformTargetDialect
from sequoiahook.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    read_settings,
)
from sequoiahook.platform.store import StoreClient

EXIT_BAD_SETTINGS = 2
FLUSH_MS = 100

log = logbook.Logger("process")


def main() -> int:
    """Run an instance until it has stopped, and return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_settings(path)
    except CheckError as error:
        for finding in error.findings:
            print(f"{path}: {finding}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return_large_blocks()
    clock = BootClock()
    writer = LineWriter(sys.stdout.fileno(), clock, LineWriterSettings())
    BoundedLinesHandler(writer, settings.direct.name).push_application()
    redirect_library_logs()
    return asyncio.run(_run(path, settings, clock, writer))


async def _run(
    path: str, settings: PlatformSettings, clock: BootClock, writer: LineWriter
) -> int:
    components = InstanceComponents(
        StoreClient(settings), CallerDialect(), PlatformTargetDialect(), clock
    )
    instance = DirectInstance(settings.direct, components)
    reloader = _Reloader(path, instance)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.stop)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    tasks = [
        asyncio.create_task(_flush(writer)),
        asyncio.create_task(reloader.run()),
    ]
    try:
        return await instance.run()
    finally:
        for task in tasks:
            task.cancel()
        writer.flush()


async def _flush(writer: LineWriter) -> None:
    while True:
        await asyncio.sleep(FLUSH_MS / MS_PER_S)
        dropped = writer.reset_dropped_count()
        if dropped:
            log.warning("log lines dropped", extra={"count": dropped})
        writer.flush()


class _Reloader:
    """Reloads the settings file on a signal or when its time or size changes."""

    def __init__(self, path: str, instance: DirectInstance):
        self._path = path
        self._instance = instance
        self._file_version = self._read_file_version()

    async def run(self) -> None:
        """Reload the file whenever it has changed, until cancelled."""
        check_ms = self._instance.settings.durations.settings_check_ms
        while True:
            await asyncio.sleep(check_ms / MS_PER_S)
            if self._read_file_version() != self._file_version:
                self.reload()

    def reload(self) -> None:
        """Read the file; an invalid one leaves the settings as they are."""
        self._file_version = self._read_file_version()
        try:
            settings = read_settings(self._path)
        except CheckError as error:
            log.error("settings refused", extra={"findings": str(error)})
            return
        self._instance.reload(settings.direct.bounds)

    def _read_file_version(self) -> tuple[int, int]:
        try:
            file_stat = Path(self._path).stat()
        except OSError as error:
            log.warning("settings file not readable", extra={"error": str(error)})
            return (0, 0)
        return (file_stat.st_mtime_ns, file_stat.st_size)


if __name__ == "__main__":
    sys.exit(main())
