"""Reports of load: odd fields, their age, and which services state their pace."""

from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.target_registry import TargetRegistrySettings
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.platform.dialect import PlatformTargetDialect
from sequoiahook.wire.target_dialect import NATIVE_DIALECT
from sequoiahook.world.target import LoadReport
from tests.direct_parts import a_target

SETTINGS = TargetRegistrySettings().target
WRONG_TARGET = 421
figures = st.integers(0, 10**8)


def report(*values, status=200):
    headers = [(b"server-load", value) for value in values]
    return PlatformTargetDialect().load_report(status, headers)


def a_state():
    return TargetState(a_target("t1"), SETTINGS, 0)


def test_three_figures_state_no_pace():
    assert report(b"2,1,4") == LoadReport(3, 4, None)
    assert report(b" 2 , 1, 4 ") == LoadReport(3, 4, None)


def test_fourth_figure_is_the_pace():
    """A fourth figure once made the decoder drop the whole field."""
    assert report(b"2,1,4,250") == LoadReport(3, 4, 250)


def test_further_figures_are_not_used():
    assert report(b"2,1,4,250,7,8") == LoadReport(3, 4, 250)


def test_field_that_is_not_whole_decimal_numbers_is_ignored():
    odd = b"", b",", b"1,2", b"1,2,", b"1,2,x", b"1,2,3,", b"1,2,3,4.5", b"1,2,3,-4"
    odd += b"1,2,3,4,x", b"+1,2,3", b"1,2,3,\xb2", b"1;2;3", b"0x1,2,3", b"1_0,2,3"
    assert [report(value) for value in odd] == [None] * len(odd)
    assert report() is None


def test_pace_out_of_range_is_ignored_alone():
    for pace in (b"0", b"000", b"10001", b"9" * 5_000):
        assert report(b"2,1,4," + pace) == LoadReport(3, 4, None)
    assert report(b"2,1,4,10000").pace == 10_000
    assert report(b"2,1,4,1").pace == 1
    assert report(b"2,1,4,0100").pace == 100


def test_numbers_of_thousands_of_digits_do_not_end_the_exchange():
    """`int` raises an error for texts of more than 4,300 digits."""
    assert report(b"9" * 5_000 + b",0,4").open_count >= 10**9
    assert report(b"0" * 5_000 + b"2,0,4").open_count == 2


def test_first_field_counts_if_it_is_repeated():
    assert report(b"2,1,4,250", b"0,0,4,100") == LoadReport(3, 4, 250)


def test_pace_of_another_target_is_not_used():
    assert report(b"2,1,4,250", status=WRONG_TARGET) == LoadReport(3, 4, None)


def test_native_targets_report_no_load():
    assert NATIVE_DIALECT.load_report(200, [(b"server-load", b"1,2,3,100")]) is None


@given(running=figures, waiting=figures, slots=figures, more=st.lists(figures))
def test_whole_numbers_are_read_as_they_are(running, waiting, slots, more):
    text = ",".join(str(figure) for figure in (running, waiting, slots, *more))
    pace = more[0] if more and 1 <= more[0] <= 10_000 else None
    assert report(text.encode()) == LoadReport(running + waiting, slots, pace)


@given(value=st.binary(max_size=40))
def test_any_bytes_give_a_report_within_its_bounds_or_none(value):
    read = report(value)
    if read is not None:
        assert value.count(b",") >= 2
        assert read.open_count >= 0
        assert read.pace is None or 1 <= read.pace <= 10_000


@given(
    pace=st.integers(1, 10_000),
    ages=st.lists(st.integers(0, 1_000), min_size=2, max_size=2),
)
def test_effect_of_a_pace_fades_with_its_age(pace, ages):
    state = a_state()
    state.record_load(LoadReport(0, 4, pace), 500)
    newer, older = sorted(ages)
    distances = [abs(state.pace_factor(500 + age) - 1) for age in (newer, older)]
    assert distances[0] >= distances[1]
    if older >= SETTINGS.pace_decay_ms:
        assert distances[1] == 0


def test_pace_counts_in_full_when_new():
    state = a_state()
    state.record_load(LoadReport(0, 4, 250), 500)
    assert state.pace_factor(500) == 2.5
    assert state.pace_factor(800) == 1.75
    assert state.pace_factor(1_100) == 1.0


def test_report_without_pace_does_not_renew_an_old_pace():
    state = a_state()
    state.record_load(LoadReport(0, 4, 250), 0)
    state.record_load(LoadReport(0, 4, None), 590)
    assert state.pace_factor(600) == 1.0


def test_report_never_lowers_the_own_open_requests():
    """A target that falsely reports that it is idle."""
    state = a_state()
    for _ in range(7):
        state.on_sent(0)
    state.record_load(LoadReport(0, 4, 100), 0)
    assert state.in_flight(0) == 7


def test_report_of_a_full_target_counts_for_300_ms():
    state = a_state()
    state.record_load(LoadReport(90, 4, 100), 0)
    assert state.in_flight(300) == 90
    assert state.in_flight(301) == 0


def test_false_pace_gains_a_bounded_advantage():
    state = a_state()
    state.record_load(LoadReport(0, 4, 1), 0)
    assert state.pace_factor(0) == 0.5
