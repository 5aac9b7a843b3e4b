"""Command line of the fault soak: ``python -m soak --seconds 60 --seed 7``."""

import asyncio
import random
import shutil
import sys
import time
from pathlib import Path

import defopt

from soak.run import FAULT_PHASE_S, Outcome, run_seed
from soak.system import ProxiedFleet

LOG_DIRECTORY = Path("soak-logs")


def main(
    *, seconds: float = 60.0, seed: int = -1, run_seconds: float = FAULT_PHASE_S
) -> None:
    """Run one seed, or random ones until the time is over.

    Args:
        seconds: How long to start runs with random seeds, in seconds.
        seed: The seed to run; a negative one means random seeds.
        run_seconds: Length of the phase of a run in which faults start, in seconds.
    """
    deadline_at = time.monotonic() + seconds
    seeds = [seed] if seed >= 0 else None
    passed = failed = 0
    while seeds or (seed < 0 and time.monotonic() < deadline_at):
        number = seeds.pop() if seeds else random.SystemRandom().randrange(1 << 32)
        if _run(number, run_seconds):
            passed += 1
        else:
            failed += 1
    print(f"soak: {passed} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


def _run(seed: int, run_seconds: float) -> bool:
    with ProxiedFleet() as fleet:
        outcome = asyncio.run(run_seed(seed, run_seconds, fleet))
        _report(outcome)
        if outcome.violations:
            log_directory = LOG_DIRECTORY / str(seed)
            shutil.copytree(fleet.path, log_directory, dirs_exist_ok=True)
            print(f"  logs of all processes: {log_directory}", flush=True)
    return not outcome.violations


def _report(outcome: Outcome) -> None:
    kinds = sorted({fault.kind for fault in outcome.plan.faults})
    print(
        f"seed {outcome.plan.seed}: {len(outcome.plan.faults)} faults of "
        f"{', '.join(kinds)}; {outcome.request_count} requests, "
        f"{outcome.served_count} served, {outcome.target_run_count} runs, "
        f"{len(outcome.violations)} violations",
        flush=True,
    )
    for violation in outcome.violations[:20]:
        print(
            f"  {violation.guarantee}: request {violation.request_id or '-'}: "
            f"{violation.text}"
        )


if __name__ == "__main__":
    defopt.run(main)
