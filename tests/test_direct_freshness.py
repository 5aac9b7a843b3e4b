"""A withdrawn key stops working within its bound, whatever the platform answers."""

from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.freshness import Freshness, FreshnessSettings

BOUND_MS = 5_000
SETTINGS = FreshnessSettings(withdrawal_ms=BOUND_MS)


def test_without_a_confirmation_no_key_is_admitted():
    assert not Freshness(SETTINGS).allows_keys(0)


@given(
    withdrawn_at=st.integers(0, 20_000),
    confirmations=st.lists(st.integers(0, 20_000)),
    now=st.integers(0, 40_000),
)
def test_no_key_is_admitted_after_its_bound(withdrawn_at, confirmations, now):
    """A partitioned instance only has confirmations from before the withdrawal."""
    freshness = Freshness(SETTINGS)
    for requested_at in confirmations:
        if requested_at <= min(withdrawn_at, now):
            freshness.confirm(requested_at)
    if now > withdrawn_at + BOUND_MS:
        assert not freshness.allows_keys(now)


def test_an_older_confirmation_does_not_replace_a_newer_one():
    freshness = Freshness(SETTINGS)
    freshness.confirm(10_000)
    freshness.confirm(2_000)
    assert freshness.allows_keys(13_000)
    assert freshness.age_ms(13_000) == 3_000
