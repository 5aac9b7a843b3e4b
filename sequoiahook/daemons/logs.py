"""Structured log handlers that write one JSON object per line."""

import json
import sys
from typing import Any

import logbook

from sequoiahook.daemons.line_writer import LineWriter

__all__ = ["BoundedLinesHandler", "JsonLinesHandler", "log_to_stderr"]


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
            **{str(key): value for key, value in record.extra.items()},
        }
        if record.exc_info:
            line["traceback"] = record.formatted_exception
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


def log_to_stderr(instance: str, level: str) -> JsonLinesHandler:
    """Install a handler on standard error for the whole process and return it."""
    handler = JsonLinesHandler(sys.stderr, instance, level)
    handler.push_application()
    return handler
