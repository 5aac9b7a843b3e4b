"""Uploads that are abandoned, announce any length or come in small chunks.

They guard against memory that connections keep after their callers have left, and
against uploads that keep the event loop from serving others.
"""

import itertools

import pytest

from tests.flooding import (
    BODY_BYTES_MAX,
    PART_BYTES,
    Crowd,
    SmallestFleet,
    SmallFleet,
    check_flood,
    start_small,
    usual_fields,
)

pytestmark = pytest.mark.serial

LENGTH_OF_20_DIGITS = "9" * 20


@pytest.fixture(params=[SmallFleet, SmallestFleet])
def any_fleet(request):
    with request.param() as fleet:
        start_small(fleet)
        yield fleet


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        start_small(fleet)
        yield fleet


def upload_head(framing, path="/write/1"):
    fields = usual_fields(1)
    return f"POST {path} HTTP/1.1\r\n{fields}{framing}\r\n\r\n".encode()


def chunked(size, chunk_bytes):
    """Return a body in chunks without its end, as large parts."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    count = size // chunk_bytes
    per_part = max(1, PART_BYTES // len(chunk))
    for _ in range(0, count, per_part):
        yield chunk * per_part


def with_length(length, sent_bytes):
    head = upload_head(f"Content-Length: {length}")
    return lambda number: (head, *[b"x" * 50_000] * (sent_bytes // 50_000))


def in_chunks(chunk_bytes, size=BODY_BYTES_MAX, path="/write/1"):
    head = upload_head("Transfer-Encoding: chunked", path)
    return lambda number: itertools.chain([head], chunked(size, chunk_bytes))


def test_callers_that_leave_within_uploads(any_fleet):
    """What was read of a body stayed in memory until the next garbage collection."""
    sent = with_length(any_fleet.body_bytes_max, 500_000)
    check_flood(any_fleet, Crowd(100, sent, leaves=True))


def test_callers_that_leave_within_chunked_uploads(any_fleet):
    """The same without a length that is known in advance."""
    sent = in_chunks(10_000, 500_000)
    check_flood(any_fleet, Crowd(100, sent, leaves=True))


def test_callers_that_leave_behind_a_complete_upload(any_fleet):
    """Requests that run were cancelled, but their bodies stayed in memory."""
    sent = with_length(500_000, 500_000)
    check_flood(any_fleet, Crowd(100, sent, leaves=True))


def test_uploads_with_a_length_of_20_digits(any_fleet):
    """Bodies of a length beyond the limit were read up to the limit."""
    sent = with_length(LENGTH_OF_20_DIGITS, 2 * any_fleet.body_bytes_max)
    check_flood(any_fleet, Crowd(60, sent, leaves=True))


def test_uploads_beyond_the_limit(any_fleet):
    """Bodies without a length are only known to be too large at the limit."""
    sent = in_chunks(10_000, 2 * any_fleet.body_bytes_max)
    check_flood(any_fleet, Crowd(60, sent, leaves=True))


def test_uploads_in_chunks_of_one_byte(fleet):
    """Parsing of small chunks kept the event loop for tens of seconds."""
    paths = ("/write/1", "/open/1", "/nowhere/1")
    check_flood(fleet, *(Crowd(20, in_chunks(1, path=path)) for path in paths))


def test_uploads_in_chunks_of_one_byte_beside_many_slashes(fleet):
    """Two kinds of costly bytes took turns with each other only."""
    slashes = upload_head("Content-Length: 0", "/" * 15_000)
    check_flood(
        fleet,
        Crowd(60, in_chunks(1)),
        Crowd(40, lambda number: itertools.repeat(slashes), reads=True),
    )


def test_uploads_with_large_trailers(fleet):
    """Fields behind a body were held without being counted."""
    head = upload_head("Transfer-Encoding: chunked")
    trailer = head + b"1\r\nx\r\n0\r\n" + b"a: " + b"y" * 15_000
    check_flood(fleet, Crowd(200, trailer))
