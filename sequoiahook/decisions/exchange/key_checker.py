"""Check of the key of a handover against the keys known to this instance."""

from sequoiahook.decisions.keys import KeyName, KeyState, KeyTable
from sequoiahook.messages.requests import HandOver

__all__ = ["KeyChecker"]


class KeyChecker:
    """The newest known keys, and the keys withdrawn since."""

    def __init__(self):
        self._keys: KeyTable | None = None
        self._withdrawn: set[KeyName] = set()

    def update(self, keys: KeyTable) -> None:
        """Apply the keys of a configuration unless a newer one is known."""
        if self._keys is None or keys.number >= self._keys.number:
            self._keys = keys
            self._withdrawn.clear()

    def withdraw(self, name: KeyName) -> None:
        """Treat a key as withdrawn until the next configuration."""
        self._withdrawn.add(name)

    def is_withdrawn(self, body: HandOver) -> bool:
        """Return whether the key of a handover is no longer valid.

        A key that was withdrawn here is refused. Otherwise, if the sender has a newer
        configuration, its own check of the key counts; else the keys known here decide.
        """
        if not body.key_name:
            return False
        name = KeyName(body.organisation, body.key_name)
        if name in self._withdrawn:
            return True
        if self._keys is None or body.configuration_number > self._keys.number:
            return False
        return self._keys.state(name) is not KeyState.VALID
