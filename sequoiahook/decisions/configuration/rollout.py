"""Distribution of the newest configuration to an instance and its peers."""

import itertools
import json
import random
from collections.abc import Mapping, Sequence
from typing import Any

from sequoiahook.decisions.configuration.current import CurrentConfiguration
from sequoiahook.decisions.configuration.peers import Peers
from sequoiahook.decisions.configuration.piece_fetcher import PLATFORM
from sequoiahook.decisions.configuration.pieces import canonical
from sequoiahook.decisions.configuration.platform_watch import PlatformWatch
from sequoiahook.decisions.configuration.push_rounds import PushRounds
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import Root, read_root, root_value
from sequoiahook.decisions.configuration.root_loader import RootLoader
from sequoiahook.decisions.configuration.status import StatusWriter
from sequoiahook.decisions.configuration.watcher_election import WatcherElection
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

__all__ = ["ConfigurationReplica"]


class ConfigurationReplica:
    """The configuration in force at one instance; its number never falls.

    Methods that handle an event return effects: messages to instances, platform
    calls, :class:`Apply` and :class:`Reject`. Call :meth:`tick` at the time that
    :meth:`next_wake` returns, and query that time again after each other call.

    Args:
        settings: Intervals, timeouts and limits.
        name: Name of this instance.
        data_centre: Data centre of this instance.
        rng: Source of jitter for comparisons and retries.
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
        self._current = CurrentConfiguration()
        self._election = WatcherElection(settings.watcher_election, name, data_centre)
        self._platform_watch = PlatformWatch(settings, ids, rng)
        self._loader = RootLoader(self._current, settings, ids)
        self._status_writer = StatusWriter(settings, data_centre, ids)
        self._peers = Peers(settings, name, data_centre, rng)
        self._push_rounds = PushRounds(settings)

    @property
    def number(self) -> int:
        """Number of the configuration in force; 0 if there is none."""
        return self._current.number

    @property
    def document(self) -> dict[str, Any] | None:
        """Document in force; None before the first configuration."""
        return self._current.document

    @property
    def configuration(self) -> Configuration | None:
        """Parsed configuration in force; None before the first one."""
        return self._current.configuration

    @property
    def pieces_by_digest(self) -> Mapping[str, bytes]:
        """Pieces held by this instance, by digest; input of a PatchWriter."""
        return self._current.pieces_by_digest

    @property
    def number_by_instance(self) -> dict[str, int]:
        """Numbers last reported by the instances of the data centre."""
        return self._status_writer.number_by_name

    def is_watcher(self, now: int) -> bool:
        """Return whether this instance watches the platform."""
        return self._election.is_watcher(now)

    def configure_view(
        self, instances_by_data_centre: Mapping[str, Sequence[str]], now: int
    ) -> list:
        """Set the known instances; call before all other methods and on each change.

        Until a first configuration is in force, the numbers of new instances are
        requested.
        """
        new_names = self._peers.configure(instances_by_data_centre)
        self._election.configure(self._peers.peers, now)
        effects = []
        if not self.number:
            self._peers.begin_boot(new_names, now)
            message = self._compare_message(now, True)
            effects = [Send(name, message) for name in new_names]
        return effects + self.tick(now)

    def receive(self, source: str, message: tuple, now: int) -> list:
        """Handle a configuration message from another instance."""
        self._peers.record_answer(source)
        if isinstance(message, ConfigurationCompare):
            effects = self._on_compare(source, message, now)
        elif isinstance(message, ConfigurationPush):
            effects = self._on_push(source, message, now)
        elif isinstance(message, PieceRequest):
            effects = self._on_piece_request(source, message)
        else:
            is_booting = self._peers.is_booting(now)
            loaded = self._loader.on_pieces(message.pieces, now, is_booting)
            effects = self._announce_applied(loaded, now)
        return effects + self.tick(now)

    def receive_answer(self, answer: CallAnswer, now: int) -> list:
        """Handle the answer to a platform call; abandoned calls are ignored."""
        effects = []
        if self._platform_watch.finish_call(answer.call_id):
            effects = self._on_watch_answer(answer, now)
        elif self._status_writer.finish_call(answer.call_id):
            self._status_writer.on_answer(answer, now)
        else:
            is_booting = self._peers.is_booting(now)
            effects = self._announce_applied(
                self._loader.on_answer(answer, now, is_booting), now
            )
        return effects + self.tick(now)

    def add_patch_result(
        self, root: Root, pieces: Mapping[str, bytes], now: int
    ) -> list:
        """Use the root and the pieces that a PatchWriter read or wrote."""
        effects = []
        if self._loader.is_eligible(root.number):
            self._current.add_pieces(pieces.items())
            effects = self._add_root(root, PLATFORM, now)
        return effects + self.tick(now)

    def tick(self, now: int) -> list:
        """Run the actions that are due and return their effects."""
        is_watcher = self._election.is_watcher(now)
        self._peers.is_booting(now)
        effects = [*self._load(now), *self._platform_watch.tick(is_watcher, now)]
        if now >= self._peers.next_comparison_at:
            effects += self._compare_numbers(is_watcher, now)
        if self._push_rounds.begin_round(now):
            effects += self._repeat_pushes()
        self._status_writer.record_number(self._name, self.number, now)
        self._status_writer.drop_unresponsive(now)
        effects += self._status_writer.tick(
            is_watcher and self._election.is_first(now), now
        )
        return effects

    def next_wake(self, now: int) -> int:
        """Return the time of the next :meth:`tick`."""
        is_watcher = self._election.is_watcher(now)
        is_writer = is_watcher and self._election.is_first(now)
        wakes = [
            self._peers.next_comparison_at,
            self._loader.next_wake(),
            self._push_rounds.next_wake(),
            self._peers.boot_ends_at,
            self._platform_watch.next_wake(is_watcher, now),
            self._status_writer.next_wake(is_writer, now),
            self._election.next_change(now),
        ]
        return max(now, min(wake for wake in wakes if wake is not None))

    def _compare_message(self, now: int, wants_reply: bool) -> ConfigurationCompare:
        is_watcher = self._election.is_watcher(now)
        return ConfigurationCompare(self.number, is_watcher, wants_reply)

    def _compare_numbers(self, is_watcher: bool, now: int) -> list:
        """Send this number to peers and to contacts in other data centres."""
        wants_reply = self._peers.schedule_comparison(now) or not self.number
        message = self._compare_message(now, wants_reply)
        names = self._peers.names_to_compare(is_watcher or not self.number)
        return [Send(name, message) for name in names]

    def _on_compare(self, source: str, message: ConfigurationCompare, now: int) -> list:
        if source in self._peers.peers:
            self._election.record_report(source, message.is_watcher, now)
            self._status_writer.record_number(source, message.number, now)
            self._peers.record_watcher(source, message.is_watcher)
        if message.number < self.number:
            pieces = self._current.pieces_since(
                message.number, self._settings.push_bytes_max
            )
            return [Send(source, self._push_message(pieces))]
        if message.number > self.number:
            is_loading = self._loader.is_loading(message.number, source)
            if is_loading or not self._loader.is_eligible(message.number):
                return []
            return [Send(source, self._compare_message(now, True))]
        if message.wants_reply and message.number == self.number:
            return [Send(source, self._compare_message(now, False))]
        return []

    def _push_message(self, pieces: tuple) -> ConfigurationPush:
        root = self._current.root._replace(recent_patches=())
        return ConfigurationPush(root.number, canonical(root_value(root)), pieces)

    def _on_push(self, source: str, message: ConfigurationPush, now: int) -> list:
        if source in self._peers.peers:
            self._status_writer.record_number(source, message.number, now)
        if message.number <= self.number:
            return [Send(source, self._compare_message(now, False))]
        if not self._loader.is_eligible(message.number):
            return []
        try:
            root = read_root(json.loads(message.root))
        except (CheckError, ValueError, RecursionError) as error:
            return [Reject(0, (Finding(f"push from {source}", str(error)),))]
        effects = self._loader.add_pieces(message.pieces)
        return effects + self._add_root(root, source, now)

    def _on_piece_request(self, source: str, message: PieceRequest) -> list:
        """Send pieces; if some are missing here, add the root in force."""
        digests = message.digests
        if message.wants_below:
            digests = self._current.with_descendants(digests)
        pieces = self._current.available_pieces(digests, self._settings.push_bytes_max)
        effects = [Send(source, ConfigurationPieces(pieces))]
        if len(pieces) < len(message.digests) and self.number:
            effects.append(Send(source, self._push_message(())))
        return effects

    def _on_watch_answer(self, answer: CallAnswer, now: int) -> list:
        watched_root = self._platform_watch.on_answer(answer, now)
        if watched_root is None:
            return []
        try:
            root = read_root(watched_root.value)
        except CheckError as error:
            return [Reject(0, error.findings)]
        return self._add_root(root, PLATFORM, now)

    def _add_root(self, root: Root, source: str, now: int) -> list:
        self._loader.add_source(root, source)
        return self._load(now)

    def _load(self, now: int) -> list:
        """Request missing pieces of the newest root, or apply it."""
        is_booting = self._peers.is_booting(now)
        return self._announce_applied(self._loader.load(now, is_booting), now)

    def _announce_applied(self, effects: list, now: int) -> list:
        """Add announcements if the effects apply a configuration."""
        if self._loader.was_abandoned:
            self._loader.was_abandoned = False
            self._platform_watch.reset_version()
        if any(isinstance(effect, Apply) for effect in effects):
            return effects + self._announce(self._loader.source, now)
        return effects

    def _announce(self, source: str, now: int) -> list:
        """Push a configuration to all peers, or acknowledge one from a peer."""
        if source in self._peers.peers:
            message = self._compare_message(now, False)
            names = sorted({*self._peers.watchers, source})
            return [Send(name, message) for name in names]
        self._push_rounds.start(now)
        is_first = self._election.is_first(now) or not self._election.is_watcher(now)
        pieces = self._new_pieces() if is_first else ()
        return [Send(name, self._push_message(pieces)) for name in self._peers.peers]

    def _repeat_pushes(self) -> list:
        """Repeat the push to peers that have not acknowledged the number."""
        number_by_name = self._status_writer.number_by_name
        names = [
            name
            for name in self._peers.peers
            if number_by_name.get(name, 0) < self.number
        ]
        if not names:
            self._push_rounds.stop()
        message = self._push_message(self._new_pieces())
        return [Send(name, message) for name in names]

    def _new_pieces(self) -> tuple:
        """Return the pieces added since the previous number."""
        return self._current.pieces_since(
            self._current.previous_number, self._settings.push_bytes_max
        )
