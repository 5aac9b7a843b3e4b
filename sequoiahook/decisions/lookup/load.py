"""How many answers named each instance first, with older answers forgotten."""

__all__ = ["AnswerLoad"]


class AnswerLoad:
    """Answers counted for the instances of one data centre.

    Counts are halved once in each window, so they follow the recent past.

    Args:
        window_ms: Time after which half of a counted answer is forgotten.
        factor_percent: How far one instance may exceed the average.
    """

    def __init__(self, window_ms: int, factor_percent: int):
        self._window_ms = window_ms
        self._factor_percent = factor_percent
        self._halve_at: int | None = None
        self._total = 0
        self.count_by_name: dict[str, int] = {}

    def pick(self, names: tuple[str, ...], now: int) -> int:
        """Count an answer for the first of the names that has room.

        Args:
            names: All instances of the data centre, in order of preference.
            now: The time in milliseconds.

        Returns:
            The index of the name.
        """
        if self._halve_at is None or now >= self._halve_at:
            self._halve(names, now)
        counts = self.count_by_name
        room = (self._total + 1) * self._factor_percent
        size_percent = len(names) * 100
        picked = 0
        for index, name in enumerate(names):
            if counts.get(name, 0) * size_percent < room:
                picked = index
                break
        name = names[picked]
        counts[name] = counts.get(name, 0) + 1
        self._total += 1
        return picked

    def _halve(self, names: tuple[str, ...], now: int) -> None:
        before = self.count_by_name
        self.count_by_name = {name: before.get(name, 0) // 2 for name in names}
        self._total = sum(self.count_by_name.values())
        self._halve_at = now + self._window_ms
