"""Components of an instance that depend on the platform."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from sequoiahook.clock import Clock
from sequoiahook.daemons.caller_http import CallerAnswer, CallerRequest
from sequoiahook.daemons.direct.caller_handler import Dialect
from sequoiahook.daemons.direct.object_store import ObjectStore
from sequoiahook.wire.target_dialect import TargetDialect
from sequoiahook.world.instance import Address

__all__ = ["InstanceComponents", "InstanceDialect"]


class InstanceDialect(Dialect, Protocol):
    """Encoding of all calls to an instance."""

    def read_lookup(self, request: CallerRequest):
        """Return the decoded look-up; None if the request is not a look-up."""

    def lookup_answer(
        self, addresses: Sequence[Address], lifetime_ms: int
    ) -> CallerAnswer:
        """Encode the answer to a look-up."""

    def is_readiness_check(self, request: CallerRequest) -> bool:
        """Return whether the request is the platform's readiness check."""


class InstanceComponents(NamedTuple):
    """Components of an instance that depend on the platform.

    Attributes:
        store: The platform's store.
        dialect: Encoding of callers' requests and of the answers to them.
        target_dialect: Encoding of targets' answers.
        clock: A clock that also advances while the machine is suspended.
    """

    store: ObjectStore
    dialect: InstanceDialect
    target_dialect: TargetDialect
    clock: Clock
