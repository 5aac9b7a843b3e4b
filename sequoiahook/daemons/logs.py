"""Structured logs: one JSON object a line."""

import json
import sys
from typing import Any

import logbook

from sequoiahook.daemons.line_writer import LineWriter

__all__ = ["BoundedLinesHandler", "JsonLinesHandler", "log_to_stderr"]


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object.

    Args:
        stream: Where to write.
        instance: Name of the instance, put into each line.
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
    """Gives each record as one JSON object to a writer that never waits.

    Args:
        writer: Where lines go.
        instance: Name of the instance, put into each line.
        level: Lowest level that is written.
    """

    def __init__(self, writer: LineWriter, instance: str, level: str = "INFO"):
        super().__init__(sys.stdout, instance, level)
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Give a record to the writer."""
        self._writer.write(self.format(record))


def log_to_stderr(instance: str, level: str) -> JsonLinesHandler:
    """Make a handler for standard error and put it in force for the process."""
    handler = JsonLinesHandler(sys.stderr, instance, level)
    handler.push_application()
    return handler
