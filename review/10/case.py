"""The store returns from a copy without the fleet's secret; an instance restarts."""

import signal
import sys
import time
from pathlib import Path

from review.common_2 import (
    Clients,
    Deployment,
    Quota,
    Record,
    has_trouble,
    record_rate,
    record_runs,
    run_case,
)

QUOTA = Quota(rate_per_s=40, burst=40)
ZONE_BY_INSTANCE = {"edge-01": "north-a", "edge-02": "north-b", "edge-03": "north-a"}
RESTARTED = "edge-02"
TARGET_ZONES = ("north-a", "north-b", "north-a", "north-b")
COPY_AGE_S = 4
AWAY_S = 1
CALM_S = 5
PER_S = 50
"""Requests a second at each instance."""

STEP_S = 5
STEPS = 10


def play(record: Record) -> bool:
    """Play the case and return whether the rule held."""
    names = tuple(ZONE_BY_INSTANCE)
    with Deployment() as fleet:
        fleet.configure(1, **QUOTA.tenants())
        for number, zone in enumerate(TARGET_ZONES):
            fleet.start_target(f"target-{number}", zone=zone)
        fleet.control_store(keep_copy=True)
        copied_at = time.monotonic()
        fleet.is_first_start = True
        for name, zone in ZONE_BY_INSTANCE.items():
            fleet.start_instance(name, zone)
        fleet.wait_ready(*names)
        record.write("all instances are ready")
        time.sleep(max(0.0, copied_at + COPY_AGE_S - time.monotonic()))
        if has_trouble():
            fleet.control_store(faults={"is_down": True})
            time.sleep(AWAY_S)
            written_again = ["config", "servers", "evacuations"]
            fleet.control_store(return_to_copy=True, rewritten=written_again)
            fleet.control_store(faults={})
            age_s = time.monotonic() - copied_at
            record.write(f"the store is back from a copy that is {age_s:.1f} s old")
        time.sleep(CALM_S)
        fleet.is_first_start = False
        fleet.signal(RESTARTED, signal.SIGTERM)
        fleet.wait_exit(RESTARTED)
        fleet.start_instance(RESTARTED, ZONE_BY_INSTANCE[RESTARTED])
        fleet.wait_ready(RESTARTED)
        record.write(f"{RESTARTED} was restarted")
        with Clients(fleet, record) as clients:
            for name in names:
                clients.start(name, PER_S)
            for _ in range(STEPS):
                record_rate(fleet, record, STEP_S)
        return QUOTA.holds(clients, record_runs(fleet, record), record)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
