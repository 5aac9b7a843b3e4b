import base64
from urllib.parse import quote, unquote_to_bytes

from hypothesis import given, settings, strategies as st

from sequoiahook.wire.fields import (
    clean_request,
    loggable_path,
    presented_keys,
    response_fields,
    target_fields,
)

KEYS = st.text("abcXYZ019+/=-_.~", min_size=8, max_size=20)
TOKENS = st.text("abcXY-", min_size=1, max_size=8)
ENCODINGS = st.sampled_from(
    [
        lambda key: key,
        lambda key: quote(key, safe=""),
        lambda key: "".join(f"%{ord(c):02x}" for c in key),
        lambda key: quote(quote("%" + key, safe=""), safe=""),
        lambda key: base64.b64encode(f"user:{key}".encode()).decode(),
    ]
)
PARAMETER_NAMES = st.sampled_from(["key", "KEY", "%6bey", "k%65y", "+key", "%256bey"])
KEY_FIELDS = ["Authorization", "authorization", "X-Api-Key", "x-API-key", "Cookie"]
FIELD_NAMES = st.one_of(
    st.sampled_from([*KEY_FIELDS, "Proxy-Authorization", "Connection", "Referer"]),
    st.sampled_from(["Sequoiahook-Organisation", "sequoiahook-x", "Trailer", "Via"]),
    TOKENS,
)
VALUE_FORMS = st.sampled_from(
    ["{}", "Bearer {}", "bearer  {}", "Basic {}", "a=b; key={}; c=d", "x{}y"]
)
REFERERS = st.sampled_from(["https://h/p?key={}", "/?a=1&k%65y={}#f", "/{}/"])


@st.composite
def key_requests(draw):
    """A request with a plain key and encoded copies of it in other positions."""
    key = draw(KEYS)

    def encoded_key(forms):
        return draw(forms).format(draw(ENCODINGS)(key))

    headers = [("X-Api-Key", key)]
    for _ in range(draw(st.integers(0, 5))):
        headers.append((draw(FIELD_NAMES), encoded_key(VALUE_FORMS)))
    if draw(st.booleans()):
        headers.append(("Referer", encoded_key(REFERERS)))
    if draw(st.booleans()):
        headers += [("Connection", "X-Extra"), ("X-Extra", key[::-1])]
    if draw(st.booleans()):
        headers.append((key.strip("=/+") or "n", "v"))
    parameters = [
        f"{draw(PARAMETER_NAMES)}={draw(ENCODINGS)(key)}"
        for _ in range(draw(st.integers(0, 3)))
    ]
    parameters.append("page=2")
    path = draw(st.sampled_from(["/p", "/p", f"/{key}", f"/%2f{quote(key, safe='')}"]))
    body = draw(st.sampled_from([b"", b"body", b"a" + key.encode() + b"b"]))
    raw = [(name.encode(), value.encode()) for name, value in headers]
    return key, (path + "?" + "&".join(parameters)).encode(), raw, body


def decodings(data):
    """The bytes and the results of decoding them as a target might."""
    decoded = [data]
    for _ in range(3):
        decoded.append(unquote_to_bytes(decoded[-1]))
    for word in data.split():
        try:
            decoded.append(base64.b64decode(word + b"=" * (-len(word) % 4)))
        except ValueError:
            continue
    return decoded


@settings(max_examples=400)
@given(key_requests())
def test_key_reaches_neither_target_nor_log(request):
    key, path, headers, body = request
    presented = presented_keys(path, headers)
    assert key in presented.all_keys
    clean = clean_request(path, headers, body, presented.all_keys)
    log = loggable_path(path, presented.all_keys) + clean.problem
    assert all(key.encode() not in form for form in decodings(log.encode()))
    if clean.problem:
        return
    fields = target_fields(clean.headers, "org", 500, "00-1-2-01")
    sent = b"".join(name + b": " + value + b"\r\n" for name, value in fields)
    sent = clean.target_path + b"\r\n" + sent + b"\r\n" + body
    assert all(key.encode() not in form for form in decodings(sent))
    names = [name for name, _ in fields]
    assert names.count(b"sequoiahook-organisation") == 1
    assert b"x-extra" not in names


def test_fields_and_parameters_without_key_are_forwarded():
    headers = (
        (b"Accept", b"*/*"),
        (b"Cookie", b"a=1; KEY=other; b=2"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Referer", b"https://h/p?a=1"),
        (b"Authorization", b"Basic b3RoZXI="),
        (b"Sequoiahook-Organisation", b"other"),
    )
    clean = clean_request(b"/p?a=1&key=secret-1&b=%20", headers, b"x", ["secret-1"])
    assert clean.target_path == b"/p?a=1&b=%20"
    assert clean.headers == (
        (b"accept", b"*/*"),
        (b"cookie", b"a=1; b=2"),
        (b"referer", b"https://h/p?a=1"),
    )
    assert clean.problem == ""


def test_different_keys_count_as_no_key():
    presented = presented_keys(b"/?key=secret-1", [(b"x-api-key", b"secret-2")])
    assert presented.key == ""
    assert set(presented.all_keys) == {"secret-1", "secret-2"}


def test_repeated_key_counts_once():
    headers = [(b"AUTHORIZATION", b"bearer secret-1")]
    assert presented_keys(b"/?%6bey=secret%2d1", headers).key == "secret-1"


def test_response_fields_drops_hop_by_hop_and_reserved_fields():
    headers = [
        (b"Content-Type", b"text/plain"),
        (b"Content-Length", b"3"),
        (b"Connection", b"x-hop"),
        (b"X-Hop", b"1"),
        (b"Sequoiahook-Ran", b"no"),
    ]
    assert response_fields(headers) == ((b"content-type", b"text/plain"),)
