"""A request is recognised when it is sent again, and only then."""

import pytest

from sequoiahook.decisions.direct.fingerprints import FINGERPRINT_BYTES, fingerprint
from sequoiahook.decisions.direct.requests import OpenRequest
from sequoiahook.decisions.keys import KeyName
from tests.direct_parts import a_request, a_route

BODY = bytes(range(256)) * 400


def of(organisation="one", **changes):
    key_name = KeyName(organisation, "k")
    request = OpenRequest(a_request(**changes), a_route(), "s", key_name, 0, 1_000)
    return fingerprint(request)


@pytest.mark.parametrize(
    "changes",
    [{"id": "r2"}, {"is_chunked": True}, {"key": "other key"}, {"deadline_ms": 7}],
)
def test_a_repeated_request_has_the_same_fingerprint(changes):
    assert of(body=BODY, **changes) == of(body=BODY)
    assert len(of(body=BODY)) == FINGERPRINT_BYTES


@pytest.mark.parametrize(
    "changes",
    [
        {"organisation": "two"},
        {"method": "PUT"},
        {"host": "b.example"},
        {"target_path": "/look/2"},
        {"target_path": "/look/1?q=1"},
        {"body": BODY + b"x"},
        {"body": BODY[:-1]},
        {"body": b""},
    ],
)
def test_another_request_has_another_fingerprint(changes):
    assert of(**({"body": BODY} | changes)) != of(body=BODY)


def test_parts_do_not_run_into_each_other():
    first = of(host="a", target_path="bc")
    assert first != of(host="ab", target_path="c")
