"""Look-up: which instances a caller is to use, and for how long."""

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

ORDERS_MAX = 4096


class LookupAnswer(NamedTuple):
    """Instances that a caller may use.

    Attributes:
        instances: Where to connect, in order of preference.
        lifetime_ms: For how long the caller may use the answer, in milliseconds.
    """

    instances: tuple[Address, ...]
    lifetime_ms: int


class Lookup:
    """Answers callers from tables that others keep up to date.

    Args:
        settings: Settings of look-up.
        rng: Source of jitter.
    """

    def __init__(self, settings: LookupSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self._table = BlockTable()
        self._data_centres_without_block: tuple[str, ...] = settings.data_centres
        self._preferences: Sequence[tuple[str, ...]] = ()
        self._data_centres_by_service: dict[str, frozenset[str]] = {}
        self._address_by_name_by_data_centre: dict[str, dict[str, Address]] = {}
        self._far_by_data_centre: dict[str, tuple[Address, ...]] = {}
        self._load_by_data_centre: dict[str, AnswerLoad] = {}
        self._order_by_key: dict[tuple[str, str], tuple[str, ...]] = {}

    def set_table(
        self, table: BlockTable, preferences: Sequence[tuple[str, ...]]
    ) -> None:
        """Use a table of client blocks.

        Args:
            table: The blocks, whose values are indexes of the preferences.
            preferences: Lists of data centres, nearest first.
        """
        self._table = table
        self._preferences = tuple(preferences)

    def set_data_centres(self, names: Sequence[str]) -> None:
        """Set the data centres for callers that no block holds, the nearest first."""
        self._data_centres_without_block = tuple(names)

    def set_services(self, by_service: Mapping[str, Collection[str]]) -> None:
        """Set which data centres have targets of each service."""
        self._data_centres_by_service = {
            service: frozenset(data_centres)
            for service, data_centres in by_service.items()
        }

    def set_live(self, data_centre: str, instances: Mapping[str, Instance]) -> None:
        """Set the live instances of a data centre; leaving ones are not among them."""
        addresses = {
            name: instance.caller_address for name, instance in instances.items()
        }
        if self._address_by_name_by_data_centre.get(data_centre) == addresses:
            return
        self._address_by_name_by_data_centre[data_centre] = addresses
        self._far_by_data_centre[data_centre] = tuple(addresses.values())
        self._order_by_key.clear()

    def answer(
        self, client_address: str, organisation: str, service: str, now: int
    ) -> LookupAnswer:
        """Return which instances a caller is to use.

        Args:
            client_address: The caller's IP number.
            organisation: Its organisation; empty for open routes.
            service: The service that it asks for; empty for any.
            now: The time in milliseconds.

        Raises:
            ValueError: If the address is not an IP number.
        """
        settings = self._settings
        instances: list[Address] = []
        far_left = settings.data_centres_far
        for data_centre in self._data_centres(client_address, service):
            if not self._address_by_name_by_data_centre.get(data_centre):
                continue
            if not instances:
                instances += self._near(data_centre, organisation, now)
                continue
            if far_left == 0:
                break
            far_left -= 1
            instances.append(self._far(data_centre, organisation))
        if not instances:
            return LookupAnswer((), settings.lifetime_empty_ms)
        jitter_ms = int(self._rng.random() * settings.lifetime_jitter_ms)
        return LookupAnswer(tuple(instances), settings.lifetime_ms - jitter_ms)

    def _data_centres(self, client_address: str, service: str) -> Sequence[str]:
        bits, address = parse_address(client_address)
        index = self._table.find(bits, address)
        data_centres: Sequence[str] = self._data_centres_without_block
        if index is not None and index < len(self._preferences):
            data_centres = self._preferences[index]
        having = self._data_centres_by_service.get(service)
        if not having or data_centres[0] in having:
            return data_centres
        return sorted(data_centres, key=lambda name: name not in having)

    def _near(self, data_centre: str, organisation: str, now: int) -> list[Address]:
        names = self._order(data_centre, organisation)
        load = self._load_by_data_centre.get(data_centre)
        if load is None:
            settings = self._settings
            load = AnswerLoad(settings.load_window_ms, settings.load_factor_percent)
            self._load_by_data_centre[data_centre] = load
        first = load.pick(names, now)
        addresses = self._address_by_name_by_data_centre[data_centre]
        count = min(self._settings.instances_near, len(names))
        return [addresses[names[(first + i) % len(names)]] for i in range(count)]

    def _far(self, data_centre: str, organisation: str) -> Address:
        addresses = self._far_by_data_centre[data_centre]
        return addresses[crc32(organisation.encode()) % len(addresses)]

    def _order(self, data_centre: str, organisation: str) -> tuple[str, ...]:
        key = (data_centre, organisation)
        names = self._order_by_key.get(key)
        if names is None:
            if len(self._order_by_key) >= ORDERS_MAX:
                self._order_by_key.clear()
            instances = self._address_by_name_by_data_centre[data_centre]
            names = tuple(order(organisation, instances))
            self._order_by_key[key] = names
        return names
