from hypothesis import given, settings, strategies as st

from sequoiahook.decisions.membership.rosters import (
    RosterFollower,
    RosterReporter,
    merge,
)
from sequoiahook.messages.membership import (
    LEAVING,
    LIVE,
    Member,
    RosterSnapshot,
)
from sequoiahook.world.instance import Address, Instance

ADDRESS = Address("10.0.0.1", 1)


def member(name, incarnation, state):
    return Member(Instance(name, incarnation, "b", ADDRESS, ADDRESS), state)


rosters = st.dictionaries(
    st.sampled_from(["b0", "b1", "b2"]),
    st.tuples(st.integers(1, 2), st.sampled_from([LIVE, LEAVING])),
)
updates = st.lists(
    st.tuples(st.sampled_from("bc"), st.none() | rosters), min_size=1, max_size=12
)


@settings(max_examples=300)
@given(data=st.data(), updates=updates)
def test_follower_equals_the_reporter_at_the_same_version(data, updates):
    reporter = RosterReporter()
    current_rosters: dict = {}
    rosters_by_version = {1: {}}
    messages = [reporter.snapshot()]
    for data_centre, values in updates:
        members = None
        if values is not None:
            members = {name: member(name, *value) for name, value in values.items()}
        change = reporter.update(data_centre, members)
        current_rosters.pop(data_centre, None)
        if members is not None:
            current_rosters[data_centre] = members
        rosters_by_version[reporter.version] = dict(current_rosters)
        messages += [reporter.snapshot()] + ([change] if change else [])
    follower = RosterFollower()
    for message in data.draw(st.lists(st.sampled_from(messages), max_size=40)):
        before = follower.version
        if isinstance(message, RosterSnapshot):
            follower.apply_snapshot(message)
        else:
            follower.apply_change(message)
        assert follower.version >= before
        if follower.version:
            expected = rosters_by_version[follower.version]
            assert follower.members_by_data_centre == expected


def test_merged_reports_keep_the_later_state_of_an_incarnation():
    first = {"b0": member("b0", 1, LIVE), "b1": member("b1", 1, LIVE)}
    second = {"b0": member("b0", 1, LEAVING)}
    assert merge([first, second]) == {
        "b0": member("b0", 1, LEAVING),
        "b1": member("b1", 1, LIVE),
    }
