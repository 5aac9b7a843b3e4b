"""Services that callers request by path prefix."""

from typing import NamedTuple

from sequoiahook.options import Section

__all__ = ["IDEMPOTENT_METHODS", "Service", "read_service"]

DEADLINE_MS_MAX = 60_000
DEADLINE_MS_DEFAULT = 5_000
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS")
TARGET_HTTP_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")


class Service(NamedTuple):
    """A service provided by targets.

    Attributes:
        name: Unique name.
        path_prefix: Prefix of the paths of its requests.
        is_open: Whether requests are accepted without a key.
        deadline_ms: Longest time for one request, in milliseconds.
        idempotent_methods: HTTP methods whose requests may run more than once.
        warm_up_ms: Time over which the slots of a new target are ramped up, in
            milliseconds.
    """

    name: str
    path_prefix: str
    is_open: bool
    deadline_ms: int
    idempotent_methods: tuple[str, ...]
    warm_up_ms: int


def read_service(name: str, section: Section) -> Service:
    """Read one service of a configuration document."""
    path_prefix = section.string("path_prefix")
    if path_prefix and not path_prefix.startswith("/"):
        section.report("path_prefix", "must start with /")
    methods = section.strings("idempotent_methods", default=IDEMPOTENT_METHODS)
    for method in methods:
        if method not in TARGET_HTTP_METHODS:
            section.report("idempotent_methods", f"{method!r} is not a known method")
    return Service(
        name,
        path_prefix,
        section.boolean("open", default=False),
        section.integer(
            "deadline_ms", low=1, high=DEADLINE_MS_MAX, default=DEADLINE_MS_DEFAULT
        ),
        methods,
        section.integer("warm_up_ms", low=0, high=DEADLINE_MS_MAX, default=0),
    )
