"""Route selection by host and longest prefix, and weighted splits over services."""

from collections import Counter

from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.route_table import RouteTable
from sequoiahook.decisions.direct.splits import Splits
from sequoiahook.world.routing import ServiceShare
from tests.direct_parts import a_route

SEGMENTS = st.sampled_from(("a", "b", "aa", ""))
PREFIXES = st.lists(SEGMENTS, max_size=3).map(
    lambda parts: "/" + "".join(part + "/" for part in parts)
)
PATHS = st.lists(SEGMENTS, min_size=1, max_size=5).map(
    lambda parts: "/" + "/".join(parts)
)


def longest_match(routes, host, path):
    matching = [r for r in routes if r.host == host and path.startswith(r.path_prefix)]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


@given(
    hosts_and_prefixes=st.lists(
        st.tuples(st.sampled_from("xy"), PREFIXES), unique=True
    ),
    host=st.sampled_from("xyz"),
    path=PATHS,
)
def test_longest_matching_prefix_of_host_is_selected(hosts_and_prefixes, host, path):
    routes = [
        a_route(name=f"{route_host}{prefix}", host=route_host, path_prefix=prefix)
        for route_host, prefix in hosts_and_prefixes
    ]
    assert RouteTable(routes).find(host, path) == longest_match(routes, host, path)


class CountingDict(dict):
    """A dictionary that counts how often it is searched."""

    searched_count = 0

    def get(self, key, default=None):
        self.searched_count += 1
        return super().get(key, default)


def test_a_path_of_slashes_is_searched_no_longer_than_the_longest_prefix():
    """Each of thousands of slashes was searched with a copy of the path before it."""
    table = RouteTable([a_route(host="x", path_prefix="/a/")])
    routes = CountingDict(table._route_by_host_and_prefix)
    table._route_by_host_and_prefix = routes
    assert table.find("x", "/" * 15_000) is None
    assert routes.searched_count <= len("/a/")
    assert table.find("x", "/a/" + "/" * 15_000) is not None


def test_host_may_have_port_and_any_case():
    route = a_route(host="a.example", path_prefix="/")
    assert RouteTable([route]).find("A.Example:8080", "/x") == route


@given(st.lists(st.integers(1, 100), min_size=1, max_size=5), st.integers(1, 300))
def test_any_sequence_of_requests_matches_weights(weights, count):
    shares = tuple(ServiceShare(f"s{i}", weight) for i, weight in enumerate(weights))
    route = a_route(shares=shares)
    splits = Splits()
    counts = Counter(splits.service_for(route) for _ in range(count))
    for share in shares:
        expected = count * share.weight / sum(weights)
        assert abs(counts[share.service] - expected) <= len(weights)


def test_changed_weights_take_effect_at_once():
    splits = Splits()
    before = a_route(shares=(ServiceShare("s", 1), ServiceShare("t", 1)))
    for _ in range(3):
        splits.service_for(before)
    after = a_route(shares=(ServiceShare("t", 1),))
    assert splits.service_for(after) == "t"
