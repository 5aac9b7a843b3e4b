"""One run of the soak: load from callers, the faults of a plan, and the checks."""

import asyncio
import contextlib
import time
from typing import NamedTuple

from soak.callers import Callers
from soak.guarantees import Violation, find_violations
from soak.observations import FaultInterval, Observations
from soak.plan import Fault, Plan, draw_plan
from soak.system import DATA_CENTRES, INSTANCES, ProxiedFleet, System

__all__ = ["FAULT_PHASE_S", "Outcome", "run_seed"]

FAULT_PHASE_S = 12.0
"""Default length of the phase of a run in which faults start."""

CALLER_COUNT = 12
CRASH_PATH = "/open/crash"
LARGE_BYTES = 300_000
CRASH_CHECK_S = 0.2
RECOVERY_TIMEOUT_S = 15.0
RECOVERED_LOAD_S = 3.0
"""Duration of the load that has to be served after recovery from the last fault."""

SERVED_SHARE_MIN = 0.9
EXPECTED_REFUSALS = frozenset({401, 404, 429})
"""Statuses that callers also get from a healthy system."""


class Outcome(NamedTuple):
    """Result of a run.

    Attributes:
        plan: Plan of the faults.
        request_count: Number of requests of callers.
        served_count: Number of requests answered with status 200.
        target_run_count: Number of requests that targets began to run.
        violations: Violated guarantees.
    """

    plan: Plan
    request_count: int
    served_count: int
    target_run_count: int
    violations: list[Violation]


async def run_seed(seed: int, seconds: float, fleet: ProxiedFleet) -> Outcome:
    """Run the system under the faults of a seed and check the observations.

    Args:
        seed: Seed of the plan and of the callers.
        seconds: Length of the phase in which faults start, in seconds.
        fleet: The processes to use.
    """
    system = System(fleet)
    await system.start()
    plan = draw_plan(seed, seconds, _subjects_by_type(system))
    hosts = {name: fleet.host(name) for name in INSTANCES}
    callers = Callers(
        hosts,
        system.keys,
        lambda: system.extra_prefixes,
        lambda: system.crash_paths,
        CALLER_COUNT,
        seed,
    )
    with contextlib.closing(system), callers:
        await _inject_faults(plan, system, seconds)
        recovery_failures = await _wait_recovered(system, callers)
    observations = system.observations(callers.requests, recovery_failures)
    return Outcome(
        plan,
        len(observations.requests),
        _served_count(observations),
        len(observations.runs),
        find_violations(observations),
    )


def _subjects_by_type(system: System) -> dict[str, list[str]]:
    return {
        "instance": list(INSTANCES),
        "target": [str(index) for index in range(len(system.live_targets))],
        "place": list(DATA_CENTRES),
    }


async def _inject_faults(plan: Plan, system: System, seconds: float) -> None:
    started_at = time.monotonic()
    tasks = []
    for fault in plan.faults:
        await asyncio.sleep(max(0.0, started_at + fault.start_s - time.monotonic()))
        tasks.append(asyncio.create_task(_inject(fault, system)))
    await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
    await asyncio.gather(*tasks)


async def _inject(fault: Fault, system: System) -> None:
    """Inject a fault and record the affected instance and the interval."""
    instance = fault.subject if fault.subject in INSTANCES else ""
    started_at = time.monotonic()
    interval = FaultInterval(
        instance,
        started_at,
        float("inf"),
        fault.is_planned,
        fault.kind.startswith("target_"),
    )
    is_recorded = fault.kind not in ("withdraw", "evacuate")
    if is_recorded:
        system.fault_intervals.append(interval)
    await _INJECTORS_BY_KIND[fault.kind](fault, system)
    if is_recorded:
        system.fault_intervals.remove(interval)
        system.fault_intervals.append(interval._replace(ended_at=time.monotonic()))


async def _wait_recovered(system: System, callers: Callers) -> list[str]:
    """Wait until all instances are ready, then check that requests are served.

    Returns:
        Descriptions of what failed; empty if the system recovered.
    """
    deadline_at = time.monotonic() + RECOVERY_TIMEOUT_S
    pending = set(INSTANCES)
    while pending and time.monotonic() < deadline_at:
        for name in sorted(pending):
            if await asyncio.to_thread(system.fleet.is_ready, name):
                pending.discard(name)
        await asyncio.sleep(0.1)
    if pending:
        return [
            f"{name} is not ready after {RECOVERY_TIMEOUT_S} s"
            for name in sorted(pending)
        ]
    ready_at = time.monotonic()
    await asyncio.sleep(RECOVERED_LOAD_S)
    recent = [request for request in callers.requests if request.sent_at >= ready_at]
    expected = [
        request for request in recent if request.status not in EXPECTED_REFUSALS
    ]
    served = sum(request.status == 200 for request in expected)
    if served < SERVED_SHARE_MIN * len(expected) or not expected:
        return [f"{served} of {len(expected)} served after the last fault"]
    return []


def _served_count(observations: Observations) -> int:
    return sum(request.status == 200 for request in observations.requests)


def _target_id(fault: Fault, system: System) -> str:
    return system.live_targets[int(fault.subject) % len(system.live_targets)]


async def _stop(fault: Fault, system: System) -> None:
    await system.stop_instance(fault.subject)


async def _kill(fault: Fault, system: System) -> None:
    await system.kill_instance(fault.subject, fault.duration_s)


async def _pause(fault: Fault, system: System) -> None:
    await system.pause(fault.subject, fault.duration_s)


async def _reload(fault: Fault, system: System) -> None:
    if fault.subject not in system.restarting:
        await asyncio.to_thread(system.fleet.reload, fault.subject)


async def _store_link(fault: Fault, system: System) -> None:
    proxy = system.fleet.store_proxy_by_instance[fault.subject]
    proxy.inject(fault.variant)
    await asyncio.sleep(fault.duration_s)
    proxy.clear()


async def _store_fault(fault: Fault, system: System) -> None:
    await system.set_store_faults(**{fault.variant: True})
    await asyncio.sleep(fault.duration_s)
    await system.set_store_faults()


async def _store_copy(fault: Fault, system: System) -> None:
    away_s = fault.duration_s * float(fault.variant)
    await system.return_store_to_copy(fault.duration_s - away_s, away_s)


async def _silence(fault: Fault, system: System) -> None:
    system.silence_connections(includes_targets=fault.variant == "all")


async def _forget_history(_: Fault, system: System) -> None:
    await system.forget_history()


async def _target_kill(fault: Fault, system: System) -> None:
    await system.replace_target(_target_id(fault, system), is_killed=True)


async def _target_drain(fault: Fault, system: System) -> None:
    await system.replace_target(_target_id(fault, system), is_killed=False)


async def _target_pause(fault: Fault, system: System) -> None:
    await system.pause(_target_id(fault, system), fault.duration_s)


async def _target_link(fault: Fault, system: System) -> None:
    proxy = system.fleet.proxy_by_target[_target_id(fault, system)]
    proxy.inject(fault.variant)
    await asyncio.sleep(fault.duration_s)
    proxy.clear()


async def _target_fault(fault: Fault, system: System) -> None:
    target_id = _target_id(fault, system)
    await system.set_target_fault(target_id, fault.variant)
    await asyncio.sleep(fault.duration_s)
    await system.set_target_fault(target_id, "")


async def _target_large(fault: Fault, system: System) -> None:
    target_id = _target_id(fault, system)
    await system.set_target_fault(target_id, fault.variant, LARGE_BYTES)
    await asyncio.sleep(fault.duration_s)
    await system.set_target_fault(target_id, "")


async def _target_limit(fault: Fault, system: System) -> None:
    target_id = _target_id(fault, system)
    await system.state_limit(target_id, fault.variant, fault.duration_s)


async def _crashing_request(fault: Fault, system: System) -> None:
    await system.crash_on(CRASH_PATH)
    tasks: list[asyncio.Task] = []
    ends_at = time.monotonic() + fault.duration_s
    while time.monotonic() < ends_at:
        tasks += [
            asyncio.create_task(system.replace_crashed_target(target_id))
            for target_id in system.crashed_targets()
        ]
        await asyncio.sleep(CRASH_CHECK_S)
    system.crash_paths.clear()
    await asyncio.gather(*tasks)


async def _target_rest(fault: Fault, system: System) -> None:
    target_id = _target_id(fault, system)
    await system.ask_for_rest(target_id, fault.variant, fault.duration_s)


async def _target_leaving(fault: Fault, system: System) -> None:
    await system.leave(_target_id(fault, system), fault.duration_s)


async def _cut_off(fault: Fault, system: System) -> None:
    await system.cut_off(fault.subject, fault.variant, fault.duration_s)


async def _configure(fault: Fault, system: System) -> None:
    await (system.add_route() if fault.variant == "add" else system.remove_route())


async def _withdraw_key(_: Fault, system: System) -> None:
    await system.withdraw_key()


async def _evacuate(fault: Fault, system: System) -> None:
    await system.evacuate(fault.subject, fault.duration_s)


_INJECTORS_BY_KIND = {
    "stop": _stop,
    "kill": _kill,
    "pause": _pause,
    "reload": _reload,
    "store_link": _store_link,
    "store": _store_fault,
    "forget": _forget_history,
    "store_copy": _store_copy,
    "silence": _silence,
    "target_kill": _target_kill,
    "target_drain": _target_drain,
    "target_pause": _target_pause,
    "target_link": _target_link,
    "target_fault": _target_fault,
    "target_large": _target_large,
    "target_limit": _target_limit,
    "crashing_request": _crashing_request,
    "target_rest": _target_rest,
    "target_leaving": _target_leaving,
    "target_cut": _cut_off,
    "target_cut_place": _cut_off,
    "configure": _configure,
    "withdraw": _withdraw_key,
    "evacuate": _evacuate,
}
