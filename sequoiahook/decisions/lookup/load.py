"""Decaying counts of the answers that list each instance first."""

__all__ = ["AnswerLoad"]


class AnswerLoad:
    """Balances answers over the instances of one data centre.

    Counts of answers are halved once per half-life, so that they reflect recent load.

    Args:
        half_life_ms: Time after which counts are halved, in milliseconds.
        factor_percent: Highest count of an instance, in percent of the average.
    """

    def __init__(self, half_life_ms: int, factor_percent: int):
        self._half_life_ms = half_life_ms
        self._factor_percent = factor_percent
        self._halve_at: int | None = None
        self._total = 0
        self.count_by_name: dict[str, int] = {}

    def pick(self, names: tuple[str, ...], now: int) -> int:
        """Choose the first instance below the limit, and count an answer for it.

        Args:
            names: Names of all instances of the data centre, in order of preference.
            now: Current time in milliseconds.

        Returns:
            The index of the chosen name; 0 if no instance is below the limit.
        """
        if self._halve_at is None or now >= self._halve_at:
            self._halve(names, now)
        counts = self.count_by_name
        limit = (self._total + 1) * self._factor_percent
        size_percent = len(names) * 100
        picked = 0
        for index, name in enumerate(names):
            if counts.get(name, 0) * size_percent < limit:
                picked = index
                break
        name = names[picked]
        counts[name] = counts.get(name, 0) + 1
        self._total += 1
        return picked

    def _halve(self, names: tuple[str, ...], now: int) -> None:
        previous = self.count_by_name
        self.count_by_name = {name: previous.get(name, 0) // 2 for name in names}
        self._total = sum(self.count_by_name.values())
        self._halve_at = now + self._half_life_ms
