"""Brings the newest configuration to an instance, and on to its peers."""

import itertools
import json
import random
from collections.abc import Mapping, Sequence
from typing import Any

from sequoiahook.decisions.configuration.fetching import PLATFORM, PieceFetcher
from sequoiahook.decisions.configuration.held import HeldConfiguration
from sequoiahook.decisions.configuration.peers import Peers
from sequoiahook.decisions.configuration.platform_watch import PlatformWatch
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import Root, read_root, root_value
from sequoiahook.decisions.configuration.status import StatusWriter
from sequoiahook.decisions.configuration.store import (
    PIECE_PREFIX,
    canonical,
    missing_pieces,
    piece_object_name,
    piece_of,
)
from sequoiahook.decisions.configuration.watching import WatchDuty
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.platform_calls import CallAnswer, ObjectRead, ReadObject
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
        self._fetcher = PieceFetcher(settings.call_timeout_ms, ids)
        self._status = StatusWriter(settings, data_centre, ids)
        self._peers = Peers(settings, name, data_centre, rng)
        self._rejected_number = 0
        self._reported_digests: set[str] = set()

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
            effects = self._on_pieces(message, now)
        return effects + self.tick(now)

    def answer(self, answer: CallAnswer, now: int) -> list:
        """Take the answer of a platform call; abandoned ones are ignored."""
        effects = []
        if self._watch.is_mine(answer.call_id):
            effects = self._on_watch(answer, now)
        elif self._status.is_mine(answer.call_id):
            self._status.on_answer(answer, now)
        else:
            call = self._fetcher.take(answer.call_id)
            if call is not None:
                effects = self._on_piece_read(call, answer, now)
        return effects + self.tick(now)

    def learn(self, root: Root, pieces: Mapping[str, bytes], now: int) -> list:
        """Take a root and pieces that a PatchWriter read or wrote."""
        if root.number <= self.number:
            return []
        self._held.add_pieces(pieces.items())
        return self._offer(root, PLATFORM, now) + self.tick(now)

    def tick(self, now: int) -> list:
        """Do what is due."""
        is_watcher = self._duty.is_watcher(now)
        self._peers.is_booting(now)
        effects = [*self._seek(now), *self._watch.tick(is_watcher, now)]
        if now >= self._peers.next_compare:
            effects += self._compare(is_watcher, now)
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
            self._fetcher.next_wake(),
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
        names = self._peers.names_to_compare(is_watcher)
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
            return self._ask_for(message.number, source, now)
        if message.wants_reply and message.number == self.number:
            return [Send(source, self._comparison(now, False))]
        return []

    def _ask_for(self, number: int, source: str, now: int) -> list:
        """Ask an instance for its root, if that is not known yet."""
        sought = self._fetcher.root
        if sought is not None and sought.number == number:
            self._fetcher.offer(sought, source)
        is_known = sought is not None and sought.number >= number
        if is_known or number <= self._rejected_number:
            return []
        return [Send(source, self._comparison(now, True))]

    def _push(self, pieces: tuple) -> ConfigurationPush:
        root = self._held.root._replace(recent_patches=())
        return ConfigurationPush(root.number, canonical(root_value(root)), pieces)

    def _on_push(self, source: str, message: ConfigurationPush, now: int) -> list:
        if source in self._peers.peers:
            self._status.hear(source, message.number, now)
        if message.number <= max(self.number, self._rejected_number):
            return []
        try:
            root = read_root(json.loads(message.root))
        except (CheckError, ValueError, RecursionError) as error:
            return [Reject(0, (Finding(f"push from {source}", str(error)),))]
        return self._reject_wrong(message.pieces) + self._offer(root, source, now)

    def _on_request(self, source: str, message: PieceRequest) -> list:
        """Answer with pieces; one who asks for old pieces learns the newer root."""
        pieces = self._held.some_pieces(message.digests, self._settings.push_bytes_max)
        effects = [Send(source, ConfigurationPieces(pieces))]
        if len(pieces) < len(message.digests) and self.number:
            effects.append(Send(source, self._push(())))
        return effects

    def _on_pieces(self, message: ConfigurationPieces, now: int) -> list:
        if self._fetcher.root is None:
            return []
        count = len(self._held.pieces_by_digest)
        effects = self._reject_wrong(message.pieces)
        is_progress = len(self._held.pieces_by_digest) > count
        return effects + self._seek(now, is_progress=is_progress)

    def _reject_wrong(self, pieces: tuple) -> list:
        return self._reject_digests(self._held.add_pieces(pieces))

    def _reject_digests(self, digests: list[str]) -> list:
        """Report pieces that do not match their digests, each digest once."""
        new = sorted(set(digests) - self._reported_digests)
        if not new:
            return []
        self._reported_digests.update(new)
        problem = "does not match its digest"
        findings = [Finding(piece_object_name(digest), problem) for digest in new]
        return [Reject(0, tuple(findings))]

    def _on_watch(self, answer: CallAnswer, now: int) -> list:
        seen = self._watch.see(answer, now)
        if seen is None:
            return []
        try:
            root = read_root(seen.value)
        except CheckError as error:
            return [Reject(0, error.findings)]
        return self._offer(root, PLATFORM, now)

    def _on_piece_read(self, call: ReadObject, answer: CallAnswer, now: int) -> list:
        if not isinstance(answer, ObjectRead) or not answer.version:
            return []
        digest = call.name.removeprefix(PIECE_PREFIX)
        piece = piece_of(digest, answer.value)
        if piece is None:
            return self._reject_digests([digest])
        self._held.add_pieces([(digest, piece)])
        return self._seek(now, is_progress=True)

    def _offer(self, root: Root, source: str, now: int) -> list:
        if root.number <= max(self.number, self._rejected_number):
            return []
        self._fetcher.offer(root, source)
        return self._seek(now)

    def _seek(self, now: int, *, is_progress: bool = False) -> list:
        """Get what is missing of the newest root, or put it into force."""
        root = self._fetcher.root
        if root is None:
            return []
        missing = missing_pieces(root.pieces_by_name, self._held.pieces_by_digest)
        if missing:
            return self._fetch(missing, is_progress, now)
        if self._peers.is_booting(now):
            self._fetcher.rest()
            return []
        source = self._fetcher.source
        self._fetcher.stop()
        self._reported_digests.clear()
        try:
            self._held.take(root)
        except CheckError as error:
            self._rejected_number = root.number
            self._held.drop_unused()
            return [Reject(root.number, error.findings)]
        applied = Apply(root.number, self._held.document, self._held.configuration)
        return [applied, *self._tell(source, now)]

    def _fetch(self, missing: list[str], is_progress: bool, now: int) -> list:
        if not is_progress and self._fetcher.is_hopeless(now):
            self._fetcher.stop()
            self._watch.read_again()
            return []
        return self._fetcher.ask(missing, now, is_progress=is_progress)

    def _tell(self, source: str, now: int) -> list:
        """Push what has come from outside the data centre; acknowledge the rest."""
        if source in self._peers.peers:
            message = self._comparison(now, False)
            return [Send(name, message) for name in sorted(self._peers.watchers)]
        pieces = ()
        if self._duty.is_first(now) or not self._duty.is_watcher(now):
            pieces = self._held.pieces_since(
                self._held.previous_number, self._settings.push_bytes_max
            )
        return [Send(name, self._push(pieces)) for name in self._peers.peers]
