"""Upper bounds for the age of what arrives over a link, without a common clock.

Each frame carries a probe number of its sender and echoes the highest probe number
that the sender has received. A frame that echoes probe N was sent after N arrived,
so it cannot be older than the time since N was issued, read on the receiver's clock.
"""

from collections import OrderedDict

__all__ = ["LinkFreshness"]

PROBE_INTERVAL_MS = 100
PROBES_KEPT = 600


class LinkFreshness:
    """Probe numbers of one link, seen from one end.

    Args:
        now: The time at which the link was opened, in milliseconds.
    """

    def __init__(self, now: int):
        self._opened_at = now
        self._issued_at_by_probe: OrderedDict[int, int] = OrderedDict()
        self._probe = 0
        self._echo = 0

    def stamp(self, now: int) -> tuple[int, int]:
        """Return the probe number and the echo for a frame that is sent now."""
        issued_at = self._issued_at_by_probe.get(self._probe)
        if issued_at is None or now - issued_at >= PROBE_INTERVAL_MS:
            self._probe += 1
            self._issued_at_by_probe[self._probe] = now
            if len(self._issued_at_by_probe) > PROBES_KEPT:
                self._issued_at_by_probe.popitem(last=False)
        return self._probe, self._echo

    def age_ms(self, probe: int, echo: int, now: int) -> int:
        """Take in the stamp of a received frame and bound the frame's age.

        Args:
            probe: The probe number of the frame.
            echo: The probe number that the frame echoes.
            now: The time of receipt, in milliseconds.

        Returns:
            The most that the frame's age can be, in milliseconds. A frame whose echo
            is not known counts from the opening of the link.
        """
        self._echo = max(self._echo, probe)
        issued_at = self._issued_at_by_probe.get(echo, self._opened_at)
        return now - issued_at
