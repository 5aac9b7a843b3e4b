"""Parsing of JSON of which parts may be too deeply nested or contain huge numbers.

Such a part becomes null, so that it harms only the value that contains it, and not all
other values of the document.
"""

import json
import re
from typing import Any

__all__ = ["parse_leniently"]

DEPTH_MAX = 64
"""Documents of the platform are about six levels deep."""

INTEGER_DIGITS_MAX = 20
"""Digits of the largest integer of 64 bits, and a sign."""

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def parse_leniently(data: bytes) -> Any:
    """Parse JSON, with null in place of parts that exceed the limits.

    Raises:
        ValueError: If the text is not JSON.
    """
    text = data.decode("utf-8", "surrogatepass")
    return json.loads(_without_deep_parts(text), parse_int=_parse_integer)


def _parse_integer(text: str) -> int | None:
    return int(text) if len(text) <= INTEGER_DIGITS_MAX else None


def _without_deep_parts(text: str) -> str:
    parts: list[str] = []
    depth = copied_to = 0
    for match in _TOKEN.finditer(text):
        token = match.group()
        if token in "[{":
            depth += 1
            if depth == DEPTH_MAX + 1:
                parts += (text[copied_to : match.start()], "null")
        elif token in "]}":
            if depth == DEPTH_MAX + 1:
                copied_to = match.end()
            depth -= 1
    if depth > DEPTH_MAX:
        raise ValueError("JSON ends within a value")
    return "".join((*parts, text[copied_to:]))
