"""When an owner may start work, and how it passes a pool on."""

from sequoiahook.decisions.pool.runs import Runs
from sequoiahook.messages.pools import HandedRun, PoolHandover
from sequoiahook.world.instance import Address

__all__ = ["Ownership"]


class Ownership:
    """What an owner knows of the owners before and after it.

    Args:
        runs: The runs that the owner counts.
    """

    def __init__(self, runs: Runs):
        self._runs = runs
        self._blocked_until = 0
        self._view_number = 0
        self._handover_sequence = 0
        self.is_stopped = False

    def next_change(self, now: int) -> int | None:
        """Return when the unknown work has ended; None if it has."""
        return self._blocked_until if self.is_blocked(now) else None

    def is_blocked(self, now: int) -> bool:
        """Return whether unknown work may still run at the targets."""
        return now < self._blocked_until

    def take_over(self, previous_may_run_until_ms: int, view_number: int) -> None:
        """Begin after another owner, whose work is not known."""
        self._blocked_until = max(self._blocked_until, previous_may_run_until_ms)
        self._view_number = view_number

    def take_handover(self, message: PoolHandover, now: int) -> None:
        """Take the previous owner's account, unless it is old or of another view."""
        if message.view_number != self._view_number:
            return
        if message.sequence <= self._handover_sequence:
            return
        self._handover_sequence = message.sequence
        self._blocked_until = now + message.blocked_ms
        self._runs.set_inherited(
            [(Address(run.host, run.port), now + run.left_ms) for run in message.runs]
        )

    def handover(
        self, service: str, data_centre: str, view_number: int, sequence: int, now: int
    ) -> PoolHandover:
        """Return the account for the next owner."""
        runs = [HandedRun(*run.address, max(0, run.until - now)) for run in self._runs]
        blocked_ms = max(0, self._blocked_until - now)
        return PoolHandover(
            service, data_centre, view_number, sequence, blocked_ms, tuple(runs)
        )
