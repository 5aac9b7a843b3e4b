"""Codec for messages between instances: authenticated datagrams of CBOR."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Any

import cbor2

from sequoiahook.errors import CodecError
from sequoiahook.messages.crashes import Crash, CrashReport, SuspectStatement
from sequoiahook.messages.leaves import RUNS_MAX, LeaveNotice
from sequoiahook.messages.limits import (
    LimitBody,
    LimitReport,
    LimitStatement,
    PermitDenial,
    PermitGrant,
    PermitRequest,
)
from sequoiahook.messages.reach import TARGETS_MAX, ReachQuery, ReachReply
from sequoiahook.messages.reports import (
    Body,
    Datagram,
    GroupDigest,
    GroupReport,
    MemberReport,
    PeerState,
    QuotaTable,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from sequoiahook.messages.shares import (
    ORGANISATIONS_MAX,
    ShareBody,
    ShareDemand,
    ShareRatios,
)

__all__ = ["DATAGRAM_BYTES_MAX", "decode_datagram", "encode_datagram"]

TAG_BYTES = 16
DATAGRAM_BYTES_MAX = 60_000
_STR_TYPE = frozenset({str})
_INT_TYPE = frozenset({int})
_STATE_TYPES = (bool, bool, int)
INTEGER_MAX = 1 << 63
"""Bound of all integers; CBOR can encode ones of any length."""

COUNT_MAX = 1 << 53
"""Bound of counts, loads in thousandths of a slot, and ages in milliseconds."""

PERMITS_MAX = 1_000
TOKENS_MAX = 1_000_000
"""Exclusive limit above any burst; it also rules out infinity and NaN."""

_BODY_TYPES = (
    MemberReport,
    GroupReport,
    GroupDigest,
    TokenRequest,
    TokenGrant,
    TokenDenial,
    LimitReport,
    PermitRequest,
    PermitGrant,
    PermitDenial,
    CrashReport,
    ReachQuery,
    ReachReply,
    LeaveNotice,
    ShareDemand,
    ShareRatios,
)


def encode_datagram(datagram: Datagram, secret: bytes) -> bytes:
    """Return a datagram's bytes: authentication tag and encoded message."""
    body = datagram.body
    head = datagram[:3]
    encoded = cbor2.dumps((*head, _BODY_TYPES.index(type(body)), *body))
    return _tag(encoded, secret) + encoded


def decode_datagram(data: bytes, secret: bytes) -> Datagram:
    """Return the message of a datagram.

    Raises:
        CodecError: If the datagram is not authentic or not a valid message.
    """
    tag, encoded = data[:TAG_BYTES], data[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(encoded, secret)):
        raise CodecError("datagram authentication failed")
    try:
        sender, incarnation, sequence, type_index, *fields = cbor2.loads(encoded)
        body = _decode_body(_BODY_TYPES[type_index], fields)
    except (cbor2.CBORDecodeError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"datagram holds no valid message: {error}") from error
    _require(type(sender) is str and _are_ints((incarnation, sequence)))
    return Datagram(sender, incarnation, sequence, body)


def _decode_body(body_type: type, fields: list) -> Body:
    body = body_type(*fields)
    if body_type is MemberReport:
        _require(type(body.vote) is str and type(body.is_leader) is bool)
        _require_counts(body.open_by_target, body.load_by_service)
        return body._replace(state=_decode_state(body.state))
    if body_type is GroupReport:
        _require(type(body.group) is str)
        _require_counts(body.open_by_target, body.load_by_service, body.home_by_service)
        return body._replace(
            state_by_member=_decode_states(body.state_by_member),
            quota=_decode_quota(body.quota),
        )
    if body_type is GroupDigest:
        _require_counts(body.open_by_target, body.home_by_service)
        return body._replace(state_by_instance=_decode_states(body.state_by_instance))
    if body_type in _DECODERS_BY_TYPE:
        return _DECODERS_BY_TYPE[body_type](body)
    _require(type(body.organisation) is str)
    if body_type is TokenDenial:
        _require(_is_int(body.retry_after_ms))
        return body
    _require(type(body.tokens) in (int, float) and 0 < body.tokens < TOKENS_MAX)
    _require(body_type is TokenGrant or _is_int(body.max_wait_ms))
    return body


def _decode_crash_report(body: CrashReport) -> CrashReport:
    return CrashReport(tuple(map(_decode_suspect, body.suspects)))


def _decode_leave_notice(body: LeaveNotice) -> LeaveNotice:
    _require(len(body.runs) <= RUNS_MAX)
    return LeaveNotice(tuple(map(_decode_run, body.runs)))


def _decode_limit_body(body: LimitBody) -> LimitBody:
    if isinstance(body, LimitReport):
        table = body.statement_by_target
        _require(type(body.region) is str and type(body.is_delegation) is bool)
        _require(isinstance(table, dict) and all(type(name) is str for name in table))
        statements = {name: _decode_statement(f) for name, f in table.items()}
        return body._replace(statement_by_target=statements)
    _require(type(body.target) is str and _is_int(body[1]))
    _require(0 < body[1] <= PERMITS_MAX or type(body) is PermitDenial)
    if isinstance(body, PermitRequest):
        return body._replace(statement=_decode_statement(body.statement))
    return body


def _decode_run(fields: Any) -> tuple[str, int]:
    target, started_at = fields
    _require(type(target) is str and _is_int(started_at))
    return target, started_at


def _decode_reach(body: ReachQuery | ReachReply) -> ReachQuery | ReachReply:
    _require(_is_int(body.number) and len(body[-1]) <= TARGETS_MAX)
    if isinstance(body, ReachReply):
        _require(type(body.is_available) is bool)
        _require_counts(body.age_ms_by_target)
        _require(all(age_ms >= 0 for age_ms in body.age_ms_by_target.values()))
        return body
    _require(all(type(target) is str for target in body.targets))
    return body._replace(targets=tuple(body.targets))


def _decode_share_body(body: ShareBody) -> ShareBody:
    _require(type(body.service) is str)
    table = body[-1]
    _require_counts(table)
    _require(len(table) <= ORGANISATIONS_MAX and min(table.values(), default=0) >= 0)
    if isinstance(body, ShareDemand):
        _require(type(body.group) is str and type(body.is_short) is bool)
        _require(_are_ints((body.started, body.other)))
        _require(body.started >= 0 and body.other >= 0)
    return body


def _decode_statement(fields: Any) -> LimitStatement:
    statement = LimitStatement(*fields)
    _require(_are_ints(statement) and statement.age_ms >= 0)
    return statement


def _decode_suspect(fields: Any) -> SuspectStatement:
    statement = SuspectStatement(*fields)
    _require(type(statement.organisation) is str)
    _require(type(statement.fingerprint) is bytes)
    _require(_are_ints(statement[3:]))
    return statement._replace(crashes=tuple(map(_decode_crash, statement.crashes)))


def _decode_crash(fields: Any) -> Crash:
    crash = Crash(*fields)
    _require(type(crash.target) is str and _are_ints(crash[1:]))
    _require(crash.ran_ms >= 0 and crash.age_ms >= 0)
    return crash


def _decode_state(fields: Any) -> PeerState:
    state = PeerState(*fields)
    _require(tuple(map(type, state)) == _STATE_TYPES)
    _require(_is_int(state.configuration_age_ms))
    return state


def _decode_states(table: Any) -> dict[str, PeerState]:
    _require(isinstance(table, dict) and _STR_TYPE.issuperset(map(type, table)))
    return {name: _decode_state(fields) for name, fields in table.items()}


def _decode_quota(fields: Any) -> QuotaTable:
    digest, *columns = fields
    quota = QuotaTable(digest, *map(tuple, columns))
    _require(_is_int(quota.digest))
    _require(all(_are_counts(values) for values in quota[1:]))
    return quota


def _require_counts(*tables: Any) -> None:
    for table in tables:
        _require(isinstance(table, dict))
        _require(_STR_TYPE.issuperset(map(type, table)))
        _require(_are_counts(table.values()))


def _are_counts(values: Iterable[Any]) -> bool:
    values = tuple(values)
    if not _INT_TYPE.issuperset(map(type, values)):
        return False
    return not values or (min(values) >= 0 and max(values) <= COUNT_MAX)


def _are_ints(values: Iterable[Any]) -> bool:
    return all(map(_is_int, values))


def _is_int(value: Any) -> bool:
    return type(value) is int and -INTEGER_MAX <= value <= INTEGER_MAX


def _require(is_valid: bool) -> None:
    if not is_valid:
        raise ValueError("field with an invalid type or value")


_DECODERS_BY_TYPE = {
    **dict.fromkeys(
        (LimitReport, PermitRequest, PermitGrant, PermitDenial), _decode_limit_body
    ),
    CrashReport: _decode_crash_report,
    ReachQuery: _decode_reach,
    ReachReply: _decode_reach,
    LeaveNotice: _decode_leave_notice,
    ShareDemand: _decode_share_body,
    ShareRatios: _decode_share_body,
}


def _tag(encoded: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, encoded, hashlib.sha256)[:TAG_BYTES]
