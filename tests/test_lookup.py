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
def networks(draw, bits):
    """Networks that overlap often, by text, with a value each."""
    width = 32 if bits == IPV4_BITS else 128
    highest = 32 if bits == IPV4_BITS else 64
    count = draw(st.integers(0, 25))
    result = {}
    for _ in range(count):
        length = draw(st.integers(0, highest))
        top = draw(st.sampled_from([0, 1, 10, 11, 12, 255]))
        low = draw(st.integers(0, 2**16 - 1))
        number = (top << (width - 8)) | (low << (width - 24))
        number = number >> (width - length) << (width - length)
        make = ip_address(number if bits == IPV4_BITS else number.to_bytes(16))
        result[ip_network(f"{make}/{length}")] = draw(st.integers(0, 500))
    return result


@given(st.ip_addresses(v=4))
def test_mapped_addresses_count_as_ipv4(address):
    expected = (IPV4_BITS, int(address))
    assert parse_address(str(address)) == expected
    assert parse_address(f"::ffff:{address}") == expected


@pytest.mark.parametrize("text", ["", "1.2.3", "1.2.3.4.5", "::g", "a", "1.2.3.4\0"])
def test_other_texts_are_no_address(text):
    with pytest.raises(ValueError):
        parse_address(text)


def build(by_network, bits, entries_max):
    shift = 0 if bits == IPV4_BITS else 64
    blocks = sorted(
        Block(int(network.network_address) >> shift, network.prefixlen, value)
        for network, value in by_network.items()
    )
    pieces = list(build_pieces(blocks, bits, entries_max))
    return [decode_piece(encode_piece(piece)) for piece in pieces]


def longest_prefix(by_network, address):
    holding = [network for network in by_network if address in network]
    if not holding:
        return None
    return by_network[max(holding, key=lambda network: network.prefixlen)]


def edges(by_network):
    for network in by_network:
        first, last = int(network[0]), int(network[-1])
        for number in (first - 1, first, last, last + 1, (first + last) // 2):
            if 0 <= number < 1 << network.max_prefixlen:
                yield type(network[0])(number)


@pytest.mark.parametrize("bits", [IPV4_BITS, IPV6_BITS])
@settings(max_examples=150)
@given(data=st.data(), entries_max=st.integers(1, 6))
def test_table_returns_the_longest_prefix(bits, data, entries_max):
    by_network = data.draw(networks(bits))
    table = BlockTable(build(by_network, bits, entries_max))
    for address in edges(by_network):
        expected = longest_prefix(by_network, address)
        assert table.find(*parse_address(str(address))) == expected, address


def test_full_piece_stays_under_the_platform_limit():
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
def test_bad_blocks_are_refused(blocks):
    with pytest.raises(CheckError):
        list(build_pieces(blocks, IPV4_BITS))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_no_piece(data):
    with pytest.raises(CheckError):
        decode_piece(data)


def instance(data_centre, number):
    address = Address(f"10.{ord(data_centre)}.0.{number}", 80)
    return Instance(f"{data_centre}{number}", 1, data_centre, address, address)


class LookupMachine(RuleBasedStateMachine):
    """Live lists change; every answer is checked against the oracle's own lists."""

    def __init__(self):
        super().__init__()
        self.settings = LookupSettings(data_centres=("c", "b", "a"))
        self.lookup = Lookup(self.settings, random.Random(1))
        self.live = {"a": {}, "b": {}, "c": {}}
        self.preferences = [("a", "b", "c"), ("b", "c", "a")]
        blocks = [Block(10 << 24, 8, 0), Block(11 << 24, 8, 1)]
        table = BlockTable(build_pieces(blocks, IPV4_BITS))
        self.lookup.set_table(table, self.preferences)
        self.now = 0

    @rule(data_centre=st.sampled_from("abc"), numbers=st.sets(st.integers(0, 5)))
    def change_live(self, data_centre, numbers):
        self.live[data_centre] = {
            f"{data_centre}{number}": instance(data_centre, number)
            for number in numbers
        }
        self.lookup.set_live(data_centre, self.live[data_centre])

    @rule(
        client=st.sampled_from([("10.1.2.3", 0), ("11.0.0.1", 1), ("12.0.0.1", None)]),
        organisation=st.sampled_from(["one", "two", ""]),
        later_ms=st.integers(0, 5000),
    )
    def ask(self, client, organisation, later_ms):
        self.now += later_ms
        answer = self.lookup.answer(client[0], organisation, "", self.now)
        preference = (
            ("c", "b", "a") if client[1] is None else self.preferences[client[1]]
        )
        having = [name for name in preference if self.live[name]]
        listed = [address.host for address in answer.instances]
        assert len(set(listed)) == len(listed)
        if not having:
            assert answer == ((), self.settings.lifetime_empty_ms)
            return
        near = {i.caller_address.host for i in self.live[having[0]].values()}
        near_count = min(len(near), self.settings.instances_near)
        assert set(listed[:near_count]) <= near
        for host, far in zip(listed[near_count:], having[1:], strict=True):
            assert host in {i.caller_address.host for i in self.live[far].values()}
        assert 0 < answer.lifetime_ms <= self.settings.lifetime_ms


TestLookup = LookupMachine.TestCase
TestLookup.settings = settings(max_examples=60, stateful_step_count=40)


def ask_often(organisations, instances=8, count=4000):
    settings = LookupSettings(data_centres=("a",))
    lookup = Lookup(settings, random.Random(1))
    live = {f"a{number}": instance("a", number) for number in range(instances)}
    lookup.set_live("a", live)
    rng = random.Random(2)
    firsts = Counter()
    for now in range(count):
        organisation = rng.choice(organisations)
        answer = lookup.answer("10.0.0.1", organisation, "", now)
        firsts[organisation, answer.instances[0].host] += 1
    return firsts


def test_one_large_organisation_is_spread():
    firsts = ask_often(["large"])
    assert max(firsts.values()) <= 4000 / 8 * 1.25 + 1


def test_small_organisations_stay_on_few_instances():
    organisations = [f"organisation-{number}" for number in range(100)]
    firsts = ask_often(organisations)
    homes = Counter(organisation for organisation, _ in firsts)
    assert sum(homes.values()) / len(homes) < 3


def test_callers_go_to_the_nearest_data_centre_that_has_targets():
    lookup = Lookup(LookupSettings(data_centres=("a", "b")), random.Random(1))
    for data_centre in "ab":
        lookup.set_live(data_centre, {"x": instance(data_centre, 1)})
    lookup.set_services({"archive": ["b"]})
    first = lookup.answer("10.0.0.1", "one", "archive", 0).instances[0]
    assert first == instance("b", 1).caller_address
    first = lookup.answer("10.0.0.1", "one", "register", 0).instances[0]
    assert first == instance("a", 1).caller_address
