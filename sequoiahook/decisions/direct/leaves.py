"""Targets that state in an answer that they leave, and notices of it to peers."""

from sequoiahook.decisions.direct.outgoing import OutgoingBody
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.messages.leaves import RUNS_MAX, LeaveNotice

__all__ = ["Leaves"]


class Leaves:
    """Marks targets that leave, and informs all other instances once.

    Only the instances that learn it from an answer to themselves send notices.

    Args:
        peers: The other instances.
        targets: The targets.
    """

    def __init__(self, peers: Peers, targets: TargetRegistry):
        self._peers = peers
        self._targets = targets
        self._unreported: list[tuple[str, int]] = []

    def record_answer(self, target_id: str, started_at: int) -> None:
        """Record that a run of a target stated that it leaves."""
        if self._targets.mark_leaving(target_id, started_at):
            self._unreported.append((target_id, started_at))

    def notices(self) -> list[OutgoingBody]:
        """Return the notices on what was recorded since the last call."""
        if not self._unreported:
            return []
        runs = tuple(self._unreported[:RUNS_MAX])
        del self._unreported[:RUNS_MAX]
        notice = LeaveNotice(runs)
        return [OutgoingBody(name, notice) for name in self._peers.instances_by_name]

    def receive(self, notice: LeaveNotice) -> None:
        """Apply a notice of a peer."""
        for target_id, started_at in notice.runs:
            self._targets.mark_leaving(target_id, started_at)
