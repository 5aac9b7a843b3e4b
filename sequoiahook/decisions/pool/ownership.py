"""Takeover and handover of a pool between owners."""

from sequoiahook.decisions.pool.runs import Runs
from sequoiahook.messages.pools import HandedRun, PoolHandover
from sequoiahook.world.instance import Address

__all__ = ["Ownership"]


class Ownership:
    """Tracks when a new owner may start requests, and whether it has stopped.

    Args:
        runs: Running requests of the pool.
    """

    def __init__(self, runs: Runs):
        self._runs = runs
        self._blocked_until = 0
        self._view_number = 0
        self._handover_sequence = 0
        self.is_stopped = False

    def next_change(self, now: int) -> int | None:
        """Return when the pool is unblocked; None if it is not blocked."""
        return self._blocked_until if self.is_blocked(now) else None

    def is_blocked(self, now: int) -> bool:
        """Return whether unknown requests of earlier owners may still be running."""
        return now < self._blocked_until

    def take_over(self, previous_runs_end_at: int, view_number: int) -> None:
        """Block the pool until the previous owner's unknown requests have ended."""
        self._blocked_until = max(self._blocked_until, previous_runs_end_at)
        self._view_number = view_number

    def apply_handover(self, message: PoolHandover, now: int) -> None:
        """Apply a handover, unless it is outdated or belongs to another view."""
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
        """Return the handover message for the next owner."""
        runs = [
            HandedRun(*run.address, max(0, run.ends_by - now)) for run in self._runs
        ]
        blocked_ms = max(0, self._blocked_until - now)
        return PoolHandover(
            service, data_centre, view_number, sequence, blocked_ms, tuple(runs)
        )
