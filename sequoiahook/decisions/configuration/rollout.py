"""Brings the newest configuration to an instance, and on to its peers."""

import itertools
import json
import random
from collections.abc import Mapping, Sequence
from typing import Any

from sequoiahook.decisions.configuration.fetching import PLATFORM
from sequoiahook.decisions.configuration.held import HeldConfiguration
from sequoiahook.decisions.configuration.peers import Peers
from sequoiahook.decisions.configuration.platform_watch import PlatformWatch
from sequoiahook.decisions.configuration.push_rounds import PushRounds
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import Root, read_root, root_value
from sequoiahook.decisions.configuration.seeking import RootSeeker
from sequoiahook.decisions.configuration.status import StatusWriter
from sequoiahook.decisions.configuration.store import canonical
from sequoiahook.decisions.configuration.watching import WatchDuty
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.platform_calls import CallAnswer
from sequoiahook.errors import CheckError, Finding
from sequoiahook.messages.configuration import (
    ConfigurationCompare,
    ConfigurationPieces,
    ConfigurationPush,
    PieceRequest,
)
from sequoiahook.world.configuration import Configuration

__all__ = ["ConfigurationHolder"]


class ConfigurationHolder:
    """Holds the configuration in force at one instance; its number never falls.

    Every method that takes the time returns effects: messages to instances, platform
    calls, :class:`Apply` and :class:`Reject`. Call :meth:`tick` when
    :meth:`next_wake` says so, and after each other call.

    Args:
        settings: Times and counts.
        name: Name of this instance.
        data_centre: Its data centre.
        rng: Source of the spread of comparisons.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        name: str,
        data_centre: str,
        rng: random.Random,
    ):
        ids = itertools.count(1)
        self._settings = settings
        self._name = name
        self._held = HeldConfiguration()
        self._duty = WatchDuty(settings.duty, name, data_centre)
        self._watch = PlatformWatch(settings, ids, rng)
        self._seeker = RootSeeker(self._held, settings, ids)
        self._status = StatusWriter(settings, data_centre, ids)
        self._peers = Peers(settings, name, data_centre, rng)
        self._push_rounds = PushRounds(settings)

    @property
    def number(self) -> int:
        """The number in force; 0 for none."""
        return self._held.number

    @property
    def document(self) -> dict[str, Any] | None:
        """The document in force."""
        return self._held.document

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return self._held.configuration

    @property
    def pieces_by_digest(self) -> Mapping[str, bytes]:
        """The pieces that are known, for a PatchWriter."""
        return self._held.pieces_by_digest

    @property
    def number_by_instance(self) -> dict[str, int]:
        """The numbers in force at the instances of the data centre, as heard."""
        return self._status.number_by_name

    def is_watcher(self, now: int) -> bool:
        """Return whether this instance watches the platform."""
        return self._duty.is_watcher(now)

    def configure_view(
        self, instances_by_data_centre: Mapping[str, Sequence[str]], now: int
    ) -> list:
        """Take the instances that are known; call it first, and at each change.

        Instances that are met before a first configuration is in force are asked
        for theirs.
        """
        new = self._peers.configure(instances_by_data_centre)
        self._duty.configure(self._peers.peers, now)
        effects = []
        if not self.number:
            self._peers.begin_boot(new, now)
            message = self._comparison(now, True)
            effects = [Send(name, message) for name in new]
        return effects + self.tick(now)

    def receive(self, source: str, message: tuple, now: int) -> list:
        """Take a message of this part from an instance."""
        self._peers.hear(source)
        if isinstance(message, ConfigurationCompare):
            effects = self._on_compare(source, message, now)
        elif isinstance(message, ConfigurationPush):
            effects = self._on_push(source, message, now)
        elif isinstance(message, PieceRequest):
            effects = self._on_request(source, message)
        else:
            is_booting = self._peers.is_booting(now)
            found = self._seeker.on_pieces(message.pieces, now, is_booting)
            effects = self._told(found, now)
        return effects + self.tick(now)

    def answer(self, answer: CallAnswer, now: int) -> list:
        """Take the answer of a platform call; abandoned ones are ignored."""
        effects = []
        if self._watch.is_mine(answer.call_id):
            effects = self._on_watch(answer, now)
        elif self._status.is_mine(answer.call_id):
            self._status.on_answer(answer, now)
        else:
            is_booting = self._peers.is_booting(now)
            effects = self._told(self._seeker.answer(answer, now, is_booting), now)
        return effects + self.tick(now)

    def learn(self, root: Root, pieces: Mapping[str, bytes], now: int) -> list:
        """Take a root and pieces that a PatchWriter read or wrote."""
        effects = []
        if self._seeker.is_wanted(root.number):
            self._held.add_pieces(pieces.items())
            effects = self._offer(root, PLATFORM, now)
        return effects + self.tick(now)

    def tick(self, now: int) -> list:
        """Do what is due."""
        is_watcher = self._duty.is_watcher(now)
        self._peers.is_booting(now)
        effects = [*self._seek(now), *self._watch.tick(is_watcher, now)]
        if now >= self._peers.next_compare:
            effects += self._compare(is_watcher, now)
        if self._push_rounds.is_due(now):
            effects += self._push_again()
        self._status.hear(self._name, self.number, now)
        self._status.forget_silent(now)
        effects += self._status.tick(is_watcher and self._duty.is_first(now), now)
        return effects

    def next_wake(self, now: int) -> int:
        """Return when to call tick."""
        is_watcher = self._duty.is_watcher(now)
        is_writer = is_watcher and self._duty.is_first(now)
        wakes = [
            self._peers.next_compare,
            self._seeker.next_wake(),
            self._push_rounds.next_wake(),
            self._peers.boot_ends,
            self._watch.next_wake(is_watcher, now),
            self._status.next_wake(is_writer, now),
            self._duty.next_change(now),
        ]
        return max(now, min(wake for wake in wakes if wake is not None))

    def _comparison(self, now: int, wants_reply: bool) -> ConfigurationCompare:
        is_watcher = self._duty.is_watcher(now)
        return ConfigurationCompare(self.number, is_watcher, wants_reply)

    def _compare(self, is_watcher: bool, now: int) -> list:
        """Compare numbers with peers and with contacts of other data centres."""
        wants_reply = self._peers.plan_compare(now) or not self.number
        message = self._comparison(now, wants_reply)
        names = self._peers.names_to_compare(is_watcher or not self.number)
        return [Send(name, message) for name in names]

    def _on_compare(self, source: str, message: ConfigurationCompare, now: int) -> list:
        if source in self._peers.peers:
            self._duty.hear(source, message.is_watcher, now)
            self._status.hear(source, message.number, now)
            self._peers.note_watcher(source, message.is_watcher)
        if message.number < self.number:
            pieces = self._held.pieces_since(
                message.number, self._settings.push_bytes_max
            )
            return [Send(source, self._push(pieces))]
        if message.number > self.number:
            is_known = self._seeker.is_known(message.number, source)
            if is_known or not self._seeker.is_wanted(message.number):
                return []
            return [Send(source, self._comparison(now, True))]
        if message.wants_reply and message.number == self.number:
            return [Send(source, self._comparison(now, False))]
        return []

    def _push(self, pieces: tuple) -> ConfigurationPush:
        root = self._held.root._replace(recent_patches=())
        return ConfigurationPush(root.number, canonical(root_value(root)), pieces)

    def _on_push(self, source: str, message: ConfigurationPush, now: int) -> list:
        if source in self._peers.peers:
            self._status.hear(source, message.number, now)
        if message.number <= self.number:
            return [Send(source, self._comparison(now, False))]
        if not self._seeker.is_wanted(message.number):
            return []
        try:
            root = read_root(json.loads(message.root))
        except (CheckError, ValueError, RecursionError) as error:
            return [Reject(0, (Finding(f"push from {source}", str(error)),))]
        effects = self._seeker.add_pieces(message.pieces)
        return effects + self._offer(root, source, now)

    def _on_request(self, source: str, message: PieceRequest) -> list:
        """Answer with pieces; one who asks for old pieces learns the newer root."""
        digests = message.digests
        if message.wants_below:
            digests = self._held.with_those_below(digests)
        pieces = self._held.some_pieces(digests, self._settings.push_bytes_max)
        effects = [Send(source, ConfigurationPieces(pieces))]
        if len(pieces) < len(message.digests) and self.number:
            effects.append(Send(source, self._push(())))
        return effects

    def _on_watch(self, answer: CallAnswer, now: int) -> list:
        seen = self._watch.see(answer, now)
        if seen is None:
            return []
        try:
            root = read_root(seen.value)
        except CheckError as error:
            return [Reject(0, error.findings)]
        return self._offer(root, PLATFORM, now)

    def _offer(self, root: Root, source: str, now: int) -> list:
        self._seeker.offer(root, source)
        return self._seek(now)

    def _seek(self, now: int) -> list:
        """Get what is missing of the newest root, or put it into force."""
        is_booting = self._peers.is_booting(now)
        return self._told(self._seeker.seek(now, is_booting), now)

    def _told(self, effects: list, now: int) -> list:
        """Add what others are told, if a configuration has come into force."""
        if self._seeker.was_dropped:
            self._seeker.was_dropped = False
            self._watch.read_again()
        if any(isinstance(effect, Apply) for effect in effects):
            return effects + self._tell(self._seeker.source, now)
        return effects

    def _tell(self, source: str, now: int) -> list:
        """Push what has come from outside the data centre; acknowledge the rest."""
        if source in self._peers.peers:
            message = self._comparison(now, False)
            names = sorted({*self._peers.watchers, source})
            return [Send(name, message) for name in names]
        self._push_rounds.begin(now)
        is_first = self._duty.is_first(now) or not self._duty.is_watcher(now)
        pieces = self._new_pieces() if is_first else ()
        return [Send(name, self._push(pieces)) for name in self._peers.peers]

    def _push_again(self) -> list:
        """Repeat the push to those peers that have not acknowledged the number."""
        number_by_name = self._status.number_by_name
        names = [
            name
            for name in self._peers.peers
            if number_by_name.get(name, 0) < self.number
        ]
        if not names:
            self._push_rounds.stop()
        message = self._push(self._new_pieces())
        return [Send(name, message) for name in names]

    def _new_pieces(self) -> tuple:
        """Return the pieces that are new since the number in force before."""
        return self._held.pieces_since(
            self._held.previous_number, self._settings.push_bytes_max
        )
