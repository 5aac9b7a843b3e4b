"""Structured log handlers that write one JSON object per line."""

import json
import logging
import sys
from typing import Any

import logbook
from logbook.compat import redirect_logging

from sequoiahook.daemons.line_writer import LineWriter

__all__ = [
    "BoundedLinesHandler",
    "JsonLinesHandler",
    "log_to_stderr",
    "redirect_library_logs",
]

TEXT_LENGTH_MAX = 2_048
"""Longest text of a field that is logged whole, in characters."""


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object.

    Args:
        stream: Text stream to write to.
        instance: Name of the instance, included in each line.
        level: Lowest level that is written.
    """

    def __init__(self, stream: Any, instance: str, level: str = "INFO"):
        super().__init__(stream, level=level)
        self.instance = instance

    def format(self, record: logbook.LogRecord) -> str:
        """Return a record as a line of JSON."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "instance": self.instance,
            "module": record.channel,
            "event": record.message,
            **{str(key): _shortened(value) for key, value in record.extra.items()},
        }
        if record.exc_info:
            line["traceback"] = _shortened(record.formatted_exception)
        return json.dumps(line, default=str)


class BoundedLinesHandler(JsonLinesHandler):
    """Writes each record as one JSON object to a non-blocking line writer.

    Args:
        writer: Writer of the lines.
        instance: Name of the instance, included in each line.
        level: Lowest level that is written.
    """

    def __init__(self, writer: LineWriter, instance: str, level: str = "INFO"):
        super().__init__(sys.stdout, instance, level)
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Pass a record to the writer."""
        self._writer.write(self.format(record))


def _shortened(value: Any) -> Any:
    """Return a value, or the beginning of a long text."""
    if not isinstance(value, str) or len(value) <= TEXT_LENGTH_MAX:
        return value
    return f"{value[:TEXT_LENGTH_MAX]}... ({len(value)} characters)"


def redirect_library_logs() -> None:
    """Pass warnings of libraries to the installed handler instead of standard error.

    The library for links logs each handshake that strangers begin and do not complete;
    those after which a proof is missing are logged with the links.
    """
    redirect_logging(set_root_logger_level=False)
    logging.getLogger("websockets").setLevel(logging.CRITICAL)


def log_to_stderr(instance: str, level: str) -> JsonLinesHandler:
    """Install a handler on standard error for the whole process and return it."""
    handler = JsonLinesHandler(sys.stderr, instance, level)
    handler.push_application()
    return handler
