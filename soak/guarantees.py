"""Checks of the system's guarantees against what callers and targets observed."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from soak import statements
from soak.observations import CutInterval, Observations, SentRequest, TargetRun
from soak.statements import DRAIN_MAX_S
from standins.platform_target import is_whole_body

__all__ = ["Violation", "find_violations"]

# Limits that the platform sets, as in the settings files that the soak writes.
WITHDRAWAL_MAX_S = 5.0
CONFIGURATION_MAX_S = 2.5
EVACUATION_MAX_S = 5.0
STOP_MAX_S = 6.0
SETTLE_S = 4.0
RATE_WINDOW_S = 5.0
RATE_EXCESS = 0.1
RATE_SLACK = 20

LIMIT_WINDOW_S = 4.0
LIMIT_EXCESS_FACTOR = 1.5
LIMIT_SLACK = 5
CRASHES_EXPECTED = 3
"""Targets that may end under a request before the fleet recognises it."""

CRASHING_RUNS_MAX = 3
CUT_FAILURES_FREE = 10
CUT_FAILURES_PART = 50
CUT_SERVED_RATIO = 2 / 3
EXPECTED_STATUSES = frozenset({200, 401, 404, 429})
"""Statuses that callers also get from a healthy system."""

NOT_RUN_STATUSES = frozenset({401, 404, 408, 421, 429, 503})


class Violation(NamedTuple):
    """A violated guarantee.

    Attributes:
        guarantee: Name of the guarantee.
        request_id: Id of the affected request; empty if there is none.
        text: Description of what was observed.
    """

    guarantee: str
    request_id: str
    text: str


def find_violations(observations: Observations) -> list[Violation]:
    """Return all violated guarantees."""
    return [violation for check in _CHECKS for violation in check(observations)]


def _runs_by_id(observations: Observations) -> dict[str, list[TargetRun]]:
    runs = defaultdict(list)
    for run in observations.runs:
        runs[run.id].append(run)
    return runs


def _check_at_most_once(observations: Observations) -> Iterator[Violation]:
    runs_by_id = _runs_by_id(observations)
    for request in observations.requests:
        runs = runs_by_id.get(request.id, [])
        if not request.is_idempotent and len(runs) > 1:
            targets = [run.target for run in runs]
            yield Violation("at most once", request.id, f"ran at {targets}")


def _check_refusals(observations: Observations) -> Iterator[Violation]:
    runs_by_id = _runs_by_id(observations)
    for request in observations.requests:
        is_refused = request.status in NOT_RUN_STATUSES and not request.stamp
        if is_refused and request.id in runs_by_id:
            text = (
                f"answered {request.status} and ran at "
                f"{runs_by_id[request.id][0].target}"
            )
            yield Violation("a refusal is true", request.id, text)


def _check_responses(observations: Observations) -> Iterator[Violation]:
    runs_by_id = _runs_by_id(observations)
    for request in observations.requests:
        if request.status != 200:
            continue
        expected_bodies = {
            f"{run.target} ran {request.path}" for run in runs_by_id.get(request.id, ())
        }
        if (
            not any(is_whole_body(request.body, body) for body in expected_bodies)
            or request.response_id != request.id
            or not request.stamp
        ):
            text = (
                f"body {request.body!r}, id {request.response_id!r}, "
                f"stamp {request.stamp!r}"
            )
            yield Violation("whole answers to their own requests", request.id, text)


def _check_unread_requests(observations: Observations) -> Iterator[Violation]:
    runs_by_id = _runs_by_id(observations)
    for request in observations.requests:
        if request.error == "unread" and request.id in runs_by_id:
            text = f"ran at {runs_by_id[request.id][0].target}"
            yield Violation("nothing runs behind the last answer", request.id, text)


def _check_forwarded_requests(observations: Observations) -> Iterator[Violation]:
    requests_by_id = {request.id: request for request in observations.requests}
    for run in observations.runs:
        request = requests_by_id.get(run.id)
        if request is None or run.path != request.path:
            yield Violation("only what callers sent", run.id, f"path {run.path}")
            continue
        is_public = request.path.startswith("/open/")
        organisation = (
            ""
            if is_public
            else observations.organisation_by_key.get(request.key, "nobody")
        )
        if run.organisation != organisation:
            text = f"ran for {run.organisation!r}, key of {organisation!r}"
            yield Violation("the organisation of the key", run.id, text)
        if run.has_key:
            yield Violation("no key reaches a target", run.id, run.target)


def _check_withdrawn_keys(observations: Observations) -> Iterator[Violation]:
    runs_by_id = _runs_by_id(observations)
    for request in observations.requests:
        withdrawn_at = observations.withdrawn_at_by_key.get(request.key)
        if withdrawn_at is None or request.path.startswith("/open/"):
            continue
        late_s = request.sent_at - withdrawn_at - WITHDRAWAL_MAX_S
        if late_s > 0 and request.id in runs_by_id:
            text = f"sent {late_s:.2f} s after the withdrawal limit"
            yield Violation("withdrawn keys stop", request.id, text)


def _check_rate_limits(observations: Observations) -> Iterator[Violation]:
    run_times_by_organisation = defaultdict(list)
    for run in sorted(observations.runs, key=lambda run: run.at):
        run_times_by_organisation[run.organisation].append(run.at)
    for organisation, (rate, burst) in observations.rate_limit_by_organisation.items():
        allowed = (rate * RATE_WINDOW_S + burst) * (1 + RATE_EXCESS) + RATE_SLACK
        start = 0
        for end, at in enumerate(run_times_by_organisation[organisation]):
            while run_times_by_organisation[organisation][start] <= at - RATE_WINDOW_S:
                start += 1
            if end - start + 1 > allowed:
                text = (
                    f"{organisation}: more than {allowed:.0f} requests in "
                    f"{RATE_WINDOW_S} s"
                )
                yield Violation("rates hold", "", text)
                break


def _check_removed_routes(observations: Observations) -> Iterator[Violation]:
    runs_by_id = _runs_by_id(observations)
    for request in observations.requests:
        for prefix, removed_at in observations.removed_at_by_prefix.items():
            is_late = request.sent_at > removed_at + CONFIGURATION_MAX_S
            if not (
                request.path.startswith(prefix) and is_late and request.id in runs_by_id
            ):
                continue
            if _is_undisturbed(observations, request.instance, request.sent_at):
                yield Violation("configurations are in force", request.id, prefix)


def _check_added_routes(observations: Observations) -> Iterator[Violation]:
    for request in observations.requests:
        for prefix, added_at in observations.added_at_by_prefix.items():
            if request.status != 404 or not request.path.startswith(prefix):
                continue
            removed_at = observations.removed_at_by_prefix.get(prefix, float("inf"))
            is_due = request.sent_at > added_at + CONFIGURATION_MAX_S
            # A route that is being removed may be gone before the store has answered.
            is_kept = request.ended_at < removed_at - CONFIGURATION_MAX_S
            if not is_due or not is_kept:
                continue
            if _is_undisturbed(observations, request.instance, request.sent_at):
                text = f"{prefix} is unknown to {request.instance}"
                yield Violation("configurations are in force", request.id, text)


def _check_draining_targets(observations: Observations) -> Iterator[Violation]:
    for run, request in _runs_with_requests(observations):
        draining_at = observations.draining_at_by_target.get(run.target)
        is_late = draining_at is not None and run.at > draining_at + DRAIN_MAX_S
        if is_late and _is_undisturbed(observations, request.instance, run.at):
            text = f"{run.target}, {run.at - draining_at:.2f} s after its drain began"
            yield Violation("leaving targets get nothing", run.id, text)


def _check_stated_limits(observations: Observations) -> Iterator[Violation]:
    for limit in observations.limits:
        allowed = LIMIT_EXCESS_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        begin = limit.started_at + SETTLE_S
        times = sorted(
            run.at
            for run, request in _runs_with_requests(observations)
            if run.target == limit.target
            and begin <= run.at <= limit.ended_at
            and _is_undisturbed(observations, request.instance, run.at)
        )
        for at in times:
            count = sum(at <= other < at + LIMIT_WINDOW_S for other in times)
            if count > allowed:
                text = f"{limit.target}: {count} requests in {LIMIT_WINDOW_S} s"
                yield Violation("limits of targets hold", "", text)
                break


def _check_crashing_requests(observations: Observations) -> Iterator[Violation]:
    for path, crash_times in observations.crash_times_by_path.items():
        if len(crash_times) < CRASHES_EXPECTED:
            continue
        begin = sorted(crash_times)[CRASHES_EXPECTED - 1] + SETTLE_S
        late = [
            run
            for run, request in _runs_with_requests(observations)
            if run.path == path
            and run.at > begin
            and _is_undisturbed(observations, request.instance, run.at)
        ]
        if len(late) > CRASHING_RUNS_MAX:
            text = f"{path}: {len(late)} runs after {len(crash_times)} crashes"
            yield Violation("crashing requests stop", late[0].id, text)


def _check_statements(observations: Observations) -> Iterator[Violation]:
    for instance, target, count in statements.late_in_rests(observations):
        text = f"{target} asked {instance} for rest and got {count} requests"
        yield Violation("rests of targets hold", "", text)
    for instance, target, delay_s in statements.late_after_leaving(observations):
        text = f"{target} told {instance} that it leaves, {delay_s:.2f} s before"
        yield Violation("leaving targets get nothing", "", text)


def _check_cuts(observations: Observations) -> Iterator[Violation]:
    for cut in observations.cuts:
        if not _is_only_fault(observations, cut):
            continue
        begin = cut.started_at + SETTLE_S
        requests = [
            request
            for request in observations.requests
            if begin <= request.sent_at < cut.ended_at
        ]
        cut_off = [r for r in requests if r.instance in cut.instances]
        others = [r for r in requests if r.instance not in cut.instances]
        failed = len(cut_off) - _expected_count(cut_off)
        ratio = 1 - failed / max(1, len(cut_off))
        others_ratio = _expected_count(others) / max(1, len(others))
        allowed = CUT_FAILURES_FREE + len(cut_off) / CUT_FAILURES_PART
        if failed > allowed and ratio < CUT_SERVED_RATIO * others_ratio:
            text = f"{cut.instances}: {failed} of {len(cut_off)} failed"
            yield Violation("callers of isolated instances are served", "", text)


def _expected_count(requests: list[SentRequest]) -> int:
    return sum(request.status in EXPECTED_STATUSES for request in requests)


def _is_only_fault(observations: Observations, cut: CutInterval) -> bool:
    """Return whether no other fault was near, of instances, targets or cuts."""
    near = [
        fault
        for fault in observations.fault_intervals
        if fault.started_at <= cut.ended_at
        and cut.started_at <= fault.ended_at + SETTLE_S
    ]
    evacuations = [
        place
        for place, started_at, ended_at in observations.evacuations
        if started_at <= cut.ended_at and cut.started_at <= ended_at + SETTLE_S
    ]
    return len(near) <= 1 and not evacuations


def _check_evacuations(observations: Observations) -> Iterator[Violation]:
    for run, request in _runs_with_requests(observations):
        for data_centre, started_at, ended_at in observations.evacuations:
            is_late = started_at + EVACUATION_MAX_S < run.at < ended_at
            is_evacuated = (
                observations.data_centre_by_target.get(run.target) == data_centre
            )
            if (
                is_late
                and is_evacuated
                and _is_undisturbed(observations, request.instance, run.at)
            ):
                yield Violation("evacuated places get nothing", run.id, data_centre)


def _check_planned_work(observations: Observations) -> Iterator[Violation]:
    runs_by_id = _runs_by_id(observations)
    for request in observations.requests:
        # A request on a reused connection can cross the close of that connection;
        # this is no violation if the request was not forwarded.
        if request.error != "cut" or (
            request.is_reused and request.id not in runs_by_id
        ):
            continue
        faults = list(
            _faults_near(
                observations, request.instance, request.sent_at, request.ended_at
            )
        )
        if faults and all(fault.is_planned for fault in faults):
            yield Violation("planned work cuts nothing", request.id, request.instance)


def _check_stop_durations(observations: Observations) -> Iterator[Violation]:
    for stop in observations.exits:
        if stop.exit_code != 0 or stop.duration_s > STOP_MAX_S:
            text = (
                f"{stop.instance}: exit code {stop.exit_code} after "
                f"{stop.duration_s:.1f} s"
            )
            yield Violation("stops end in time", "", text)


def _check_recovery(observations: Observations) -> Iterator[Violation]:
    for text in observations.recovery_failures:
        yield Violation("all recovers", "", text)


def _check_caller_timeouts(observations: Observations) -> Iterator[Violation]:
    timeouts_by_instance = Counter(
        request.instance
        for request in observations.requests
        if request.error == "timeout"
        and _is_undisturbed(observations, request.instance, request.sent_at)
        and _is_undisturbed(observations, request.instance, request.ended_at)
    )
    for instance, count in timeouts_by_instance.items():
        text = f"{count} requests to {instance} timed out at their callers"
        yield Violation("every request ends", "", text)


def _runs_with_requests(
    observations: Observations,
) -> Iterator[tuple[TargetRun, SentRequest]]:
    requests_by_id = {request.id: request for request in observations.requests}
    for run in observations.runs:
        if run.id in requests_by_id:
            yield run, requests_by_id[run.id]


def _faults_near(
    observations: Observations, instance: str, started_at: float, ended_at: float
) -> Iterable:
    for fault in observations.fault_intervals:
        is_affected = fault.instance in ("", instance)
        is_near = (
            fault.started_at <= ended_at and started_at <= fault.ended_at + SETTLE_S
        )
        if is_affected and is_near:
            yield fault


def _is_undisturbed(observations: Observations, instance: str, at: float) -> bool:
    """Return whether no fault affected an instance within SETTLE_S before a time.

    Configuration changes and faults of targets are ignored.
    """
    return not any(
        not fault.is_target_fault and (fault.instance or not fault.is_planned)
        for fault in _faults_near(observations, instance, at, at)
    )


_CHECKS = (
    _check_at_most_once,
    _check_refusals,
    _check_responses,
    _check_unread_requests,
    _check_forwarded_requests,
    _check_withdrawn_keys,
    _check_rate_limits,
    _check_removed_routes,
    _check_added_routes,
    _check_draining_targets,
    _check_stated_limits,
    _check_crashing_requests,
    _check_statements,
    _check_cuts,
    _check_evacuations,
    _check_planned_work,
    _check_stop_durations,
    _check_recovery,
    _check_caller_timeouts,
)
