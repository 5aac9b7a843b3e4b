"""Names that callers choose, in a form of bounded length."""

from hypothesis import given, strategies as st

from sequoiahook.daemons.caller_exchange import CallerRequest
from sequoiahook.names import NAME_LENGTH_MAX, bounded_name
from sequoiahook.platform.dialect import CallerDialect

NAMES = st.text(st.characters(max_codepoint=255), max_size=400)


@given(NAMES, NAMES)
def test_bounded_names_are_short_and_as_different_as_the_names(name, other):
    assert len(bounded_name(name)) <= NAME_LENGTH_MAX
    assert (bounded_name(name) == bounded_name(other)) is (name == other)


@given(NAMES)
def test_bounded_names_are_stable(name):
    """Instances hand requests over to others, which bound the names once more."""
    assert bounded_name(bounded_name(name)) == bounded_name(name)


def incoming(*headers):
    request = CallerRequest(1, "127.0.0.1", "GET", b"/look/1", headers, b"")
    return CallerDialect().read_request(request)


def test_objects_are_bounded_and_ids_are_forwarded_as_they_are():
    request = incoming(
        (b"request-id", b"i" * 15_000), (b"cookie", b"Affinity-Key=" + b"k" * 15_000)
    )
    assert len(request.object_key) <= NAME_LENGTH_MAX
    assert request.id == "i" * 15_000
    assert (b"request-id", b"i" * 15_000) in request.headers


def test_deadlines_of_thousands_of_digits_are_read():
    """Such a number raised an error, and the connection ended without an answer."""
    assert incoming((b"deadline-ms", b"9" * 15_000)).deadline_ms == 10**9
    assert incoming((b"deadline-ms", b"0" * 15_000 + b"7")).deadline_ms == 7
