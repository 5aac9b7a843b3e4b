"""Large answers that cannot be passed on in parts.

They guard against answers that are held whole, without being counted until they are
complete.
"""

import pytest

from tests.flooding import (
    NAME,
    Crowd,
    SmallFleet,
    check_flood,
    get,
    start_small,
    usual_fields,
)
from tests.test_caller_floods import CUT_TARGETS, INSTANCES, cut_fleet
from tests.test_platform_processes import TARGETS

__all__ = ["cut_fleet"]

pytestmark = pytest.mark.serial

CALLERS = 250
ANSWER_BYTES = 3_000_000
ORDINARY = get("/look/1", usual_fields(1))


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        start_small(fleet)
        for target_id in TARGETS:
            faults = {"body_bytes": ANSWER_BYTES, "how": "fail"}
            fleet.control_target(target_id, faults=faults)
        yield fleet


def test_failures_that_are_not_read(fleet):
    """All requests in progress held a failure before the first one was counted."""
    check_flood(fleet, Crowd(CALLERS, ORDINARY * 400))


def test_failures_whose_callers_leave(fleet):
    """The same, with new requests as soon as callers have left."""
    check_flood(fleet, Crowd(CALLERS, ORDINARY, leaves=True))


def test_answers_to_requests_that_are_handed_over(cut_fleet):
    """Whole answers wait at the instance that runs the requests of another."""
    for target_id in CUT_TARGETS:
        cut_fleet.control_target(target_id, faults={"body_bytes": ANSWER_BYTES})
    others = [name for name in INSTANCES if name != NAME]
    check_flood(cut_fleet, Crowd(CALLERS, ORDINARY * 400), others=others)


def test_answers_to_requests_that_are_handed_over_whose_callers_leave(cut_fleet):
    """The same, with new requests as soon as callers have left."""
    for target_id in CUT_TARGETS:
        cut_fleet.control_target(target_id, faults={"body_bytes": ANSWER_BYTES})
    others = [name for name in INSTANCES if name != NAME]
    check_flood(cut_fleet, Crowd(CALLERS, ORDINARY, leaves=True), others=others)
