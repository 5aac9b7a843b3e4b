"""Whether a hand-over's key still works, by what this instance knows."""

from sequoiahook.decisions.keys import KeyName, KeyState, KeyTable
from sequoiahook.messages.requests import HandOver

__all__ = ["KeyGate"]


class KeyGate:
    """The newest known keys, and those withdrawn since."""

    def __init__(self):
        self._keys: KeyTable | None = None
        self._withdrawn: set[KeyName] = set()

    def configured(self, keys: KeyTable) -> None:
        """Take the keys of a configuration, unless a newer one is known."""
        if self._keys is None or keys.number >= self._keys.number:
            self._keys = keys
            self._withdrawn.clear()

    def withdraw(self, name: KeyName) -> None:
        """Let a key work no more until the next configuration."""
        self._withdrawn.add(name)

    def is_withdrawn(self, body: HandOver) -> bool:
        """Return whether the key of a hand-over has stopped working.

        A sender with a newer configuration has checked the key by that; a sender with
        the same or an older one is checked here.
        """
        if not body.key_name:
            return False
        name = KeyName(body.organisation, body.key_name)
        if name in self._withdrawn:
            return True
        if self._keys is None or body.configuration_number > self._keys.number:
            return False
        return self._keys.state(name) is not KeyState.VALID
