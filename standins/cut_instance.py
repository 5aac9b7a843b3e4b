"""An instance whose connections to targets can be cut.

On the loopback network connections never hang, and the targets share one address, so
the cut is made where the process opens connections: in its event loop. The file that
``CUT_FILE_SUFFIX`` names beside the settings file holds how connections are cut:

- ``hang``: new and open connections hang;
- ``reset``: open connections are reset, new ones are refused;
- ``refuse``: open connections hang, new ones are refused;
- ``live``: open connections live on, new ones are refused.
"""

import asyncio
import os
import sys
import weakref
from collections.abc import Callable
from pathlib import Path

from sequoiahook.platform.__main__ import main
from sequoiahook.platform.settings import SETTINGS_VARIABLE, read_settings

__all__ = ["CUTS", "CUT_FILE_SUFFIX"]

CUTS = ("hang", "reset", "refuse", "live")
CUT_FILE_SUFFIX = ".cut"
CHECK_INTERVAL_S = 0.02
TARGET_HOST = "127.0.0.1"
HANGING = ("hang", "refuse")


class _Gate:
    """Stops the data of one connection, and passes it on later."""

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self._held: list[bytes] = []
        self._write = transport.write

    def close(self) -> None:
        """Hold all data of the connection back."""
        if not self._transport.is_closing():
            self._transport.pause_reading()
            self._transport.write = self._held.append

    def open(self) -> None:
        """Pass on what was held back, and all further data."""
        self._transport.write = self._write
        if not self._transport.is_closing():
            self._transport.resume_reading()
            for data in self._held:
                self._write(data)
        self._held.clear()


class CutLoop(asyncio.SelectorEventLoop):
    """An event loop that cuts connections to targets as the control file says."""

    def __init__(self):
        super().__init__()
        path = os.environ[SETTINGS_VARIABLE]
        self._control_path = Path(path + CUT_FILE_SUFFIX)
        self._store_port = read_settings(path).store_address.port
        self._how = ""
        self._healed: asyncio.Future | None = None
        self._target_transports: weakref.WeakSet = weakref.WeakSet()
        self._gates: list[_Gate] = []
        self.call_later(CHECK_INTERVAL_S, self._check_cut)

    async def create_connection(
        self, protocol_factory: Callable, host=None, port=None, **options
    ):
        """Open a connection, unless it goes to a target and is cut."""
        is_target = host == TARGET_HOST and port != self._store_port
        if is_target and self._how == "hang":
            await asyncio.shield(self._healed)
        elif is_target and self._how:
            raise ConnectionRefusedError("cut")
        transport, protocol = await super().create_connection(
            protocol_factory, host, port, **options
        )
        if is_target:
            self._target_transports.add(transport)
            # The cut may have begun while the connection was being opened.
            self._cut(transport)
        return transport, protocol

    def _check_cut(self) -> None:
        path = self._control_path
        cut = path.read_text().strip() if path.exists() else ""
        if cut != self._how:
            self._heal()
            self._apply(cut)
        self.call_later(CHECK_INTERVAL_S, self._check_cut)

    def _heal(self) -> None:
        for gate in self._gates:
            gate.open()
        self._gates.clear()
        if self._healed is not None:
            self._healed.set_result(None)

    def _apply(self, cut: str) -> None:
        self._how = cut
        self._healed = self.create_future() if cut else None
        for transport in list(self._target_transports):
            self._cut(transport)

    def _cut(self, transport: asyncio.Transport) -> None:
        if self._how == "reset":
            transport.abort()
        elif self._how in HANGING:
            gate = _Gate(transport)
            gate.close()
            self._gates.append(gate)


class _CutLoopPolicy(asyncio.DefaultEventLoopPolicy):
    _loop_factory = CutLoop


if __name__ == "__main__":
    asyncio.set_event_loop_policy(_CutLoopPolicy())
    sys.exit(main())
