"""Entries of silent instances are deleted on the evidence of the store only."""

import pytest

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.entry_expiry import (
    EntryExpiry,
    EntryStep,
    ExpirySettings,
)
from sequoiahook.decisions.direct.entry_lease import EntryLease, LeaseSettings
from sequoiahook.decisions.direct.quota import Quota, QuotaSettings
from sequoiahook.messages.reports import QuotaTable
from sequoiahook.platform.entries import instance_document, read_instance_entry
from sequoiahook.world.contract import Contract
from sequoiahook.world.instance import Address
from tests.direct_parts import an_instance
from tests.test_direct_peers import receive, some_peers

SETTINGS = ExpirySettings()
EXPIRE_MS = SETTINGS.doubt_after_ms + SETTINGS.answer_ms
X = an_instance(
    "x", caller_address=Address("10.0.0.1", 80), report_address=Address("10.0.0.1", 81)
)
DOUBTED = X._replace(is_doubted=True)


def steps(expiry, instance, silent_ms, now):
    return expiry.steps({instance: silent_ms}, now)


def test_silent_instance_is_doubted_before_its_entry_is_deleted():
    expiry = EntryExpiry(SETTINGS)
    expiry.set_entries([X], 0)
    assert steps(expiry, X, SETTINGS.doubt_after_ms, 10_000) == []
    doubt = [EntryStep(X, is_deletion=False)]
    assert steps(expiry, X, SETTINGS.doubt_after_ms + 1, 10_001) == doubt
    assert steps(expiry, X, 10 * EXPIRE_MS, 10 * EXPIRE_MS) == doubt
    expiry.set_entries([DOUBTED], 400_000)
    for waited_ms, expected in ((20_000, []), (20_001, [EntryStep(DOUBTED, True)])):
        now = 400_000 + waited_ms
        assert steps(expiry, DOUBTED, 10 * EXPIRE_MS, now) == expected


def test_silence_and_doubt_together_last_no_longer_than_before():
    assert EXPIRE_MS == 30_000


def test_entry_of_an_instance_that_reports_again_stays():
    expiry = EntryExpiry(SETTINGS)
    expiry.set_entries([DOUBTED], 0)
    assert steps(expiry, DOUBTED, SETTINGS.doubt_after_ms, EXPIRE_MS) == []


def test_answered_doubt_is_not_repeated_for_some_time():
    expiry = EntryExpiry(SETTINGS)
    expiry.set_entries([DOUBTED], 0)
    expiry.set_entries([X], 1_000)
    silent_ms = 10 * EXPIRE_MS
    assert steps(expiry, X, silent_ms, 1_000 + SETTINGS.pause_ms) == []
    assert steps(expiry, X, silent_ms, 1_001 + SETTINGS.pause_ms)
    assert expiry.unanswered(1_001 + SETTINGS.pause_ms) == frozenset()


def test_restarted_instance_has_the_whole_time_for_its_answer():
    expiry = EntryExpiry(SETTINGS)
    expiry.set_entries([DOUBTED], 0)
    restarted = DOUBTED._replace(incarnation=DOUBTED.incarnation + 1)
    expiry.set_entries([restarted], 15_000)
    silent_ms = 10 * EXPIRE_MS
    assert steps(expiry, restarted, silent_ms, 35_000) == []
    assert steps(expiry, restarted, silent_ms, 35_001)


def test_few_entries_change_at_a_time_those_with_the_longest_silence_first():
    expiry = EntryExpiry(SETTINGS)
    instances = [an_instance(f"n{number:03}") for number in range(100)]
    expiry.set_entries(instances, 0)
    silent_ms = {instance: 20_000 + n for n, instance in enumerate(instances)}
    due = expiry.steps(silent_ms, 50_000)
    assert len(due) == SETTINGS.steps_max
    assert due[0].instance == instances[-1]


def test_member_of_a_group_without_majority_is_doubted_early():
    expiry = EntryExpiry(SETTINGS)
    expiry.set_entries([X], 0)
    assert expiry.member_doubts({X: SETTINGS.member_doubt_after_ms}, 4_000) == []
    assert expiry.member_doubts({X: SETTINGS.member_doubt_after_ms + 1}, 4_000)
    expiry.set_entries([DOUBTED], 4_000)
    assert expiry.unanswered(4_000 + SETTINGS.member_answer_ms - 1) == frozenset()
    assert expiry.unanswered(4_000 + SETTINGS.member_answer_ms) == {"x"}


def test_silent_peer_is_known_since_its_last_report():
    peers = some_peers("a", "b")
    receive(peers, "a", now=EXPIRE_MS)
    now = EXPIRE_MS + 1
    assert (peers.silent_ms("a", now), peers.silent_ms("b", now)) == (1, now)


@pytest.mark.parametrize("instance", [X, DOUBTED])
def test_doubt_is_part_of_the_entry(instance):
    document = {"metadata": {"name": "x"}, "spec": instance_document(instance)}
    assert read_instance_entry("x", document) == instance


def test_entry_of_an_earlier_version_is_not_doubted():
    spec = instance_document(X)
    assert "doubted" not in spec
    assert not read_instance_entry("x", {"spec": spec}).is_doubted


LEASE = LeaseSettings()


def a_lease():
    lease = EntryLease(LEASE)
    lease.record_entry(True, 0, 0)
    return lease


@pytest.mark.parametrize("has_all_reports", [True, False])
@pytest.mark.parametrize("age_ms", [LEASE.lease_ms, LEASE.lease_ms + 1])
def test_lease_ends_without_the_store_and_without_reports(age_ms, has_all_reports):
    lease = a_lease()
    lease.update(age_ms, age_ms, has_all_reports=has_all_reports)
    assert lease.is_valid == (has_all_reports or age_ms <= LEASE.lease_ms)


def test_lease_ends_before_the_entry_can_be_deleted():
    assert LEASE.lease_ms < SETTINGS.answer_ms
    assert LEASE.missing_ms < QuotaSettings().departed_hold_ms


@pytest.mark.parametrize("is_present", [True, False])
def test_lease_begins_again_when_the_store_confirms_the_entry(is_present):
    lease = a_lease()
    lease.update(20_000, 20_000, has_all_reports=False)
    lease.record_entry(True, 20_000, 21_000)
    lease.update(100, 21_000, has_all_reports=False)
    assert not lease.is_valid
    lease.record_entry(is_present, 20_500, 21_000)
    lease.update(100, 21_000, has_all_reports=False)
    assert lease.is_valid
    assert lease.is_lost == (not is_present)


def test_lease_ends_while_the_entry_is_missing():
    lease = a_lease()
    lease.record_entry(False, 1_000, 1_000)
    lease.update(0, 1_000 + LEASE.missing_ms, has_all_reports=True)
    assert lease.is_valid
    lease.update(0, 1_001 + LEASE.missing_ms, has_all_reports=True)
    assert not lease.is_valid
    lease.record_entry(True, 6_000, 6_000)
    lease.update(0, 6_000, has_all_reports=True)
    assert lease.is_valid
    assert lease.is_lost


def test_instance_that_starts_without_an_entry_may_use_its_shares():
    lease = EntryLease(LEASE)
    lease.record_entry(False, 0, 0)
    lease.update(0, 10 * MS_PER_S, has_all_reports=False)
    assert lease.is_valid


def a_quota():
    """Return a quota whose only peer grants it a tenth of the rate."""
    quota = Quota(QuotaSettings(), "me", 0)
    quota.configure({"o": Contract(100, 100)})
    quota.set_members(["peer"], 0)
    grant(quota, 100, 0)
    quota.update(5_000)
    assert quota.share("o") == pytest.approx(0.1)
    return quota


def grant(quota, permille, now):
    digest = quota.table_for("peer").digest
    table = QuotaTable(digest, (25_000,), (permille,), (0,))
    quota.receive_table("peer", table, now)


def share_after(quota, now):
    quota.update(now)
    return quota.share("o")


def test_shares_of_a_member_that_is_no_longer_listed_are_held_for_some_time():
    quota = a_quota()
    for now in (5_000, 9_999):
        quota.set_members([], now)
        assert share_after(quota, now) <= 0.1
    quota.set_members([], 10_000)
    assert share_after(quota, 10_000) == 1.0


def test_member_that_is_listed_again_in_time_is_no_newcomer():
    quota = a_quota()
    quota.set_members([], 5_000)
    quota.set_members(["peer"], 9_000)
    quota.set_members(["peer"], 20_000)
    assert share_after(quota, 20_000) == pytest.approx(0.1)


def test_shares_of_a_member_that_announced_its_end_are_free_at_once():
    quota = a_quota()
    quota.set_members([], 5_000, ended=["peer"])
    assert share_after(quota, 5_000) == 1.0


def test_shares_are_unused_without_a_lease_and_granted_anew_after_its_loss():
    quota = a_quota()
    quota.is_suspended = True
    assert share_after(quota, 6_000) == 0.0
    quota.is_suspended = False
    assert share_after(quota, 6_000) == pytest.approx(0.1)
    quota.forget_grants()
    assert share_after(quota, 6_000) == 0.0
    assert quota.take("o", 6_000) > 0
    grant(quota, 50, 6_100)
    assert share_after(quota, 6_100) == pytest.approx(0.05)
