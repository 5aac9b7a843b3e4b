import random
from collections import Counter
from ipaddress import ip_address, ip_network

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from sequoiahook.decisions.lookup import (
    BlockTable,
    Lookup,
    LookupSettings,
    parse_address,
)
from sequoiahook.decisions.lookup.building import Block, build_pieces
from sequoiahook.decisions.lookup.pieces import (
    ENTRIES_MAX,
    IPV4_BITS,
    IPV6_BITS,
    decode_piece,
    encode_piece,
    piece_name,
)
from sequoiahook.errors import CheckError
from sequoiahook.world.instance import Address, Instance

PIECE_BYTES_MAX = 1_000_000


@st.composite
def values_by_network(draw, bits):
    """Values by network, where networks often contain one another."""
    width = 32 if bits == IPV4_BITS else 128
    length_max = 32 if bits == IPV4_BITS else 64
    count = draw(st.integers(0, 25))
    value_by_network = {}
    for _ in range(count):
        length = draw(st.integers(0, length_max))
        top = draw(st.sampled_from([0, 1, 10, 11, 12, 255]))
        low = draw(st.integers(0, 2**16 - 1))
        number = (top << (width - 8)) | (low << (width - 24))
        number = number >> (width - length) << (width - length)
        address = ip_address(number if bits == IPV4_BITS else number.to_bytes(16))
        value_by_network[ip_network(f"{address}/{length}")] = draw(st.integers(0, 500))
    return value_by_network


@given(st.ip_addresses(v=4))
def test_ipv4_mapped_addresses_are_parsed_as_ipv4(address):
    expected = (IPV4_BITS, int(address))
    assert parse_address(str(address)) == expected
    assert parse_address(f"::ffff:{address}") == expected


@pytest.mark.parametrize("text", ["", "1.2.3", "1.2.3.4.5", "::g", "a", "1.2.3.4\0"])
def test_invalid_address_is_rejected(text):
    with pytest.raises(ValueError):
        parse_address(text)


def build_decoded_pieces(value_by_network, bits, entries_max):
    shift = 0 if bits == IPV4_BITS else 64
    blocks = sorted(
        Block(int(network.network_address) >> shift, network.prefixlen, value)
        for network, value in value_by_network.items()
    )
    pieces = list(build_pieces(blocks, bits, entries_max))
    return [decode_piece(encode_piece(piece)) for piece in pieces]


def value_of_longest_prefix(value_by_network, address):
    containing = [network for network in value_by_network if address in network]
    if not containing:
        return None
    return value_by_network[max(containing, key=lambda network: network.prefixlen)]


def boundary_addresses(value_by_network):
    for network in value_by_network:
        first, last = int(network[0]), int(network[-1])
        for number in (first - 1, first, last, last + 1, (first + last) // 2):
            if 0 <= number < 1 << network.max_prefixlen:
                yield type(network[0])(number)


@pytest.mark.parametrize("bits", [IPV4_BITS, IPV6_BITS])
@settings(max_examples=150)
@given(data=st.data(), entries_max=st.integers(1, 6))
def test_table_returns_value_of_longest_prefix(bits, data, entries_max):
    value_by_network = data.draw(values_by_network(bits))
    table = BlockTable(build_decoded_pieces(value_by_network, bits, entries_max))
    for address in boundary_addresses(value_by_network):
        expected = value_of_longest_prefix(value_by_network, address)
        assert table.find(*parse_address(str(address))) == expected, address


def test_full_piece_is_smaller_than_platform_limit():
    rng = random.Random(1)
    starts = sorted(rng.sample(range(2**40), ENTRIES_MAX))
    blocks = [Block(start, IPV6_BITS, start % 300) for start in starts]
    sizes = [len(encode_piece(piece)) for piece in build_pieces(blocks, IPV6_BITS)]
    assert max(sizes) < PIECE_BYTES_MAX


def test_one_changed_block_changes_one_piece():
    blocks = [Block(number << 8, 24, number % 7) for number in range(5000)]
    changed = list(blocks)
    changed[1234] = Block(1234 << 8, 24, 99)
    before = {piece_name(encode_piece(p)) for p in build_pieces(blocks, 32, 256)}
    after = {piece_name(encode_piece(p)) for p in build_pieces(changed, 32, 256)}
    assert len(before) > 10
    assert len(after - before) == 1


@pytest.mark.parametrize(
    "blocks",
    [
        [Block(1, 24, 0)],
        [Block(0, 24, 0), Block(0, 24, 1)],
        [Block(256, 24, 0), Block(0, 24, 1)],
        [Block(0, 24, 0xFFFF)],
        [Block(0, 33, 0)],
    ],
)
def test_invalid_blocks_are_rejected(blocks):
    with pytest.raises(CheckError):
        list(build_pieces(blocks, IPV4_BITS))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_piece(data):
    with pytest.raises(CheckError):
        decode_piece(data)


def instance(data_centre, number):
    address = Address(f"10.{ord(data_centre)}.0.{number}", 80)
    return Instance(f"{data_centre}{number}", 1, data_centre, address, address)


class LookupMachine(RuleBasedStateMachine):
    """Changes live instances and checks each answer against a model of them."""

    def __init__(self):
        super().__init__()
        self.settings = LookupSettings(data_centres=("c", "b", "a"))
        self.lookup = Lookup(self.settings, random.Random(1))
        self.live_by_data_centre = {"a": {}, "b": {}, "c": {}}
        self.preferences = [("a", "b", "c"), ("b", "c", "a")]
        blocks = [Block(10 << 24, 8, 0), Block(11 << 24, 8, 1)]
        table = BlockTable(build_pieces(blocks, IPV4_BITS))
        self.lookup.set_table(table, self.preferences)
        self.now = 0

    @rule(data_centre=st.sampled_from("abc"), numbers=st.sets(st.integers(0, 5)))
    def set_live_instances(self, data_centre, numbers):
        self.live_by_data_centre[data_centre] = {
            f"{data_centre}{number}": instance(data_centre, number)
            for number in numbers
        }
        self.lookup.set_live_instances(
            data_centre, self.live_by_data_centre[data_centre]
        )

    @rule(
        client=st.sampled_from([("10.1.2.3", 0), ("11.0.0.1", 1), ("12.0.0.1", None)]),
        organisation=st.sampled_from(["one", "two", ""]),
        elapsed_ms=st.integers(0, 5000),
    )
    def look_up(self, client, organisation, elapsed_ms):
        self.now += elapsed_ms
        answer = self.lookup.answer(client[0], organisation, "", self.now)
        preference = (
            ("c", "b", "a") if client[1] is None else self.preferences[client[1]]
        )
        available = [name for name in preference if self.live_by_data_centre[name]]
        listed = [address.host for address in answer.instances]
        assert len(set(listed)) == len(listed)
        if not available:
            assert answer == ((), self.settings.lifetime_empty_ms)
            return
        nearest = {
            i.caller_address.host
            for i in self.live_by_data_centre[available[0]].values()
        }
        nearest_count = min(len(nearest), self.settings.nearest_instances_max)
        assert set(listed[:nearest_count]) <= nearest
        for host, further in zip(listed[nearest_count:], available[1:], strict=True):
            assert host in {
                i.caller_address.host
                for i in self.live_by_data_centre[further].values()
            }
        assert 0 < answer.lifetime_ms <= self.settings.lifetime_ms


TestLookup = LookupMachine.TestCase
TestLookup.settings = settings(max_examples=60, stateful_step_count=40)


def count_first_instances(organisations, instances=8, count=4000):
    settings = LookupSettings(data_centres=("a",))
    lookup = Lookup(settings, random.Random(1))
    live = {f"a{number}": instance("a", number) for number in range(instances)}
    lookup.set_live_instances("a", live)
    rng = random.Random(2)
    count_by_first = Counter()
    for now in range(count):
        organisation = rng.choice(organisations)
        answer = lookup.answer("10.0.0.1", organisation, "", now)
        count_by_first[organisation, answer.instances[0].host] += 1
    return count_by_first


def test_one_large_organisation_is_spread_over_instances():
    count_by_first = count_first_instances(["large"])
    assert max(count_by_first.values()) <= 4000 / 8 * 1.25 + 1


def test_small_organisation_uses_few_instances():
    organisations = [f"organisation-{number}" for number in range(100)]
    count_by_first = count_first_instances(organisations)
    instance_count_by_organisation = Counter(
        organisation for organisation, _ in count_by_first
    )
    assert (
        sum(instance_count_by_organisation.values())
        / len(instance_count_by_organisation)
        < 3
    )


def test_answer_prefers_nearest_data_centre_with_targets():
    lookup = Lookup(LookupSettings(data_centres=("a", "b")), random.Random(1))
    for data_centre in "ab":
        lookup.set_live_instances(data_centre, {"x": instance(data_centre, 1)})
    lookup.set_services({"archive": ["b"]})
    first = lookup.answer("10.0.0.1", "one", "archive", 0).instances[0]
    assert first == instance("b", 1).caller_address
    first = lookup.answer("10.0.0.1", "one", "register", 0).instances[0]
    assert first == instance("a", 1).caller_address
