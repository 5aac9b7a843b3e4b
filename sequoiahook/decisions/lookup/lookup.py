"""Selection of the instances that a caller may connect to."""

import random
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple
from zlib import crc32

from sequoiahook.decisions.lookup.load import AnswerLoad
from sequoiahook.decisions.lookup.settings import LookupSettings
from sequoiahook.decisions.lookup.table import BlockTable, parse_address
from sequoiahook.decisions.rendezvous import order
from sequoiahook.world.instance import Address, Instance

__all__ = ["Lookup", "LookupAnswer"]

CACHED_RANKINGS_MAX = 4096


class LookupAnswer(NamedTuple):
    """Result of a look-up.

    Attributes:
        instances: Addresses to connect to, in order of preference.
        lifetime_ms: Time for which the caller may use the answer, in milliseconds.
    """

    instances: tuple[Address, ...]
    lifetime_ms: int


class Lookup:
    """Answers look-ups of callers.

    The client blocks, live instances and services are set from outside.

    Args:
        settings: Settings of look-ups.
        rng: Source of jitter.
    """

    def __init__(self, settings: LookupSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self._table = BlockTable()
        self._default_data_centres: tuple[str, ...] = settings.data_centres
        self._preferences: Sequence[tuple[str, ...]] = ()
        self._data_centres_by_service: dict[str, frozenset[str]] = {}
        self._address_by_name_by_data_centre: dict[str, dict[str, Address]] = {}
        self._addresses_by_data_centre: dict[str, tuple[Address, ...]] = {}
        self._load_by_data_centre: dict[str, AnswerLoad] = {}
        self._ranking_by_key: dict[tuple[str, str], tuple[str, ...]] = {}

    def set_table(
        self, table: BlockTable, preferences: Sequence[tuple[str, ...]]
    ) -> None:
        """Set the table of client blocks.

        Args:
            table: The blocks; the value of a block is an index of the preferences.
            preferences: Lists of data centres, each with the nearest first.
        """
        self._table = table
        self._preferences = tuple(preferences)

    def set_data_centres(self, names: Sequence[str]) -> None:
        """Set the data centres, nearest first, for callers outside all blocks."""
        self._default_data_centres = tuple(names)

    def set_services(self, by_service: Mapping[str, Collection[str]]) -> None:
        """Set the data centres that have targets of each service."""
        self._data_centres_by_service = {
            service: frozenset(data_centres)
            for service, data_centres in by_service.items()
        }

    def set_live_instances(
        self, data_centre: str, instances: Mapping[str, Instance]
    ) -> None:
        """Set the live instances of a data centre, without those that are leaving."""
        addresses = {
            name: instance.caller_address for name, instance in instances.items()
        }
        if self._address_by_name_by_data_centre.get(data_centre) == addresses:
            return
        self._address_by_name_by_data_centre[data_centre] = addresses
        self._addresses_by_data_centre[data_centre] = tuple(addresses.values())
        self._ranking_by_key.clear()

    def answer(
        self, client_address: str, organisation: str, service: str, now: int
    ) -> LookupAnswer:
        """Return the instances that a caller may use.

        Args:
            client_address: IP address of the caller.
            organisation: Organisation of the caller; empty for open routes.
            service: Requested service; empty for any.
            now: Current time in milliseconds.

        Raises:
            ValueError: If the client address is not an IP address.
        """
        settings = self._settings
        instances: list[Address] = []
        remaining_data_centres = settings.further_data_centres_max
        for data_centre in self._ranked_data_centres(client_address, service):
            if not self._address_by_name_by_data_centre.get(data_centre):
                continue
            if not instances:
                instances += self._nearest_instances(data_centre, organisation, now)
                continue
            if remaining_data_centres == 0:
                break
            remaining_data_centres -= 1
            instances.append(self._further_instance(data_centre, organisation))
        if not instances:
            return LookupAnswer((), settings.lifetime_empty_ms)
        jitter_ms = int(self._rng.random() * settings.lifetime_jitter_ms)
        return LookupAnswer(tuple(instances), settings.lifetime_ms - jitter_ms)

    def _ranked_data_centres(self, client_address: str, service: str) -> Sequence[str]:
        bits, address = parse_address(client_address)
        index = self._table.find(bits, address)
        data_centres: Sequence[str] = self._default_data_centres
        if index is not None and index < len(self._preferences):
            data_centres = self._preferences[index]
        with_targets = self._data_centres_by_service.get(service)
        if not with_targets or data_centres[0] in with_targets:
            return data_centres
        return sorted(data_centres, key=lambda name: name not in with_targets)

    def _nearest_instances(
        self, data_centre: str, organisation: str, now: int
    ) -> list[Address]:
        names = self._ranking(data_centre, organisation)
        load = self._load_by_data_centre.get(data_centre)
        if load is None:
            settings = self._settings
            load = AnswerLoad(settings.load_half_life_ms, settings.load_factor_percent)
            self._load_by_data_centre[data_centre] = load
        first = load.pick(names, now)
        addresses = self._address_by_name_by_data_centre[data_centre]
        count = min(self._settings.nearest_instances_max, len(names))
        return [addresses[names[(first + i) % len(names)]] for i in range(count)]

    def _further_instance(self, data_centre: str, organisation: str) -> Address:
        addresses = self._addresses_by_data_centre[data_centre]
        return addresses[crc32(organisation.encode()) % len(addresses)]

    def _ranking(self, data_centre: str, organisation: str) -> tuple[str, ...]:
        key = (data_centre, organisation)
        names = self._ranking_by_key.get(key)
        if names is None:
            if len(self._ranking_by_key) >= CACHED_RANKINGS_MAX:
                self._ranking_by_key.clear()
            instances = self._address_by_name_by_data_centre[data_centre]
            names = tuple(order(organisation, instances))
            self._ranking_by_key[key] = names
        return names
