"""Names of any length in requests: ids, objects, hosts, paths and other fields.

They guard against names that are kept, or logged, at the size at which they arrive.
"""

import itertools

import pytest

from tests.flooding import (
    Crowd,
    SmallFleet,
    check_flood,
    get,
    start_small,
    usual_fields,
)
from tests.test_platform_processes import TARGETS

pytestmark = pytest.mark.serial

LONG = 15_000
CALLERS = 40


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        start_small(fleet)
        yield fleet


def long_name(*numbers):
    return "-".join(map(str, numbers)).ljust(LONG, "x")


def endless(request):
    """Return what connections send: a request for each of their numbers."""

    def parts(connection):
        return (request(connection, number) for number in itertools.count())

    return parts


def with_fields(path="/look/1", **changes):
    """Return a request whose usual fields are replaced by others."""
    fields = {
        "Host": "a.example",
        "Request-Id": "flood",
        "Deadline-Ms": "10000",
        "Cookie": "Affinity-Key=17",
        "Authorization": "Bearer key-one-a",
        **{name.replace("_", "-"): value for name, value in changes.items()},
    }
    return get(path, "".join(f"{name}: {value}\r\n" for name, value in fields.items()))


def test_objects_with_long_keys(fleet):
    """Tables bounded the number of objects, but not the size of their keys."""
    sent = endless(lambda *n: get("/look/1", usual_fields(long_name(*n))))
    check_flood(fleet, Crowd(CALLERS, sent, reads=True))


def test_long_request_ids(fleet):
    """Log lines and outcomes contained ids of any length."""
    sent = endless(lambda *n: with_fields(Request_Id=long_name(*n)))
    check_flood(fleet, Crowd(CALLERS, sent, reads=True))


def test_long_request_ids_that_targets_refuse(fleet):
    """Each idle connection to a target kept the ids that the target had refused."""
    for target_id in TARGETS[:-1]:
        fleet.control_target(target_id, faults={"how": "shed"})
    sent = endless(lambda *n: with_fields(Request_Id=long_name(*n)))
    check_flood(fleet, Crowd(CALLERS, sent, reads=True))


def test_long_fields(fleet):
    """A number of thousands of digits ended the connection without an answer."""
    values = {"Deadline-Ms": "9" * LONG, "Host": "", "Authorization": "", "X-Other": ""}
    crowds = [
        Crowd(CALLERS // len(values), field_sender(name, value), reads=True)
        for name, value in values.items()
    ]
    check_flood(fleet, *crowds)


def field_sender(name, value):
    """Return what connections send: requests with a long field."""
    return endless(lambda *n: with_fields(**{name: value or long_name(*n)}))


def test_long_paths(fleet):
    """The search for a route took time with the square of the number of slashes."""
    paths = ("/" * LONG, "/look/" + "a/" * (LONG // 2))
    crowds = [
        Crowd(CALLERS, endless(lambda *n, path=path: with_fields(path)), reads=True)
        for path in paths
    ]
    check_flood(fleet, *crowds)


def test_many_fields(fleet):
    """Each field of a header costs time, however short it is."""
    fields = usual_fields(1) + "a:\r\n" * (LONG // 4)
    sent = endless(lambda *n: get("/look/1", fields))
    check_flood(fleet, Crowd(CALLERS, sent, reads=True))


def test_many_fields_of_requests_that_take_long(fleet):
    """The objects of many short fields take a multiple of their characters."""
    for target_id in TARGETS[:-1]:
        fleet.control_target(target_id, faults={"work_ms": 3_000})
    fields = usual_fields(1) + "a:\r\n" * (LONG // 4)
    sent = endless(lambda *n: get("/look/1", fields))
    check_flood(fleet, Crowd(100, sent, reads=True))


def test_many_cookies(fleet):
    """Each part of a cookie costs time, however short it is."""
    sent = endless(lambda *n: with_fields(Cookie=";" * LONG))
    check_flood(fleet, Crowd(CALLERS, sent, reads=True))
