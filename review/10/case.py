"""Two data centres of a region are cut off from each other; the store is not."""

import sys
import time
from pathlib import Path

from review.common_2 import (
    Clients,
    CuttableDeployment,
    Quota,
    Record,
    has_trouble,
    record_rate,
    record_runs,
    run_case,
)

QUOTA = Quota(rate_per_s=40, burst=40)
CUT_S = 45
INSTANCES_BY_ZONE = {
    "north-a": ("edge-a01", "edge-a02"),
    "north-b": ("edge-b01", "edge-b02"),
}
TARGETS_PER_ZONE = 2
PER_S = 40
"""Requests a second at each instance."""

STEP_S = 5


def play(record: Record) -> bool:
    """Play the case and return whether the rule held."""
    names = tuple(n for zone in INSTANCES_BY_ZONE.values() for n in zone)
    with CuttableDeployment(names) as fleet:
        fleet.configure(1, **QUOTA.tenants())
        for zone in INSTANCES_BY_ZONE:
            for number in range(TARGETS_PER_ZONE):
                fleet.start_target(f"{zone}-{number}", zone=zone)
        fleet.is_first_start = True
        for zone, members in INSTANCES_BY_ZONE.items():
            for name in members:
                fleet.start_instance(name, zone)
        fleet.wait_ready(*names)
        record.write("all instances are ready")
        time.sleep(2)
        with Clients(fleet, record) as clients:
            for name in names:
                clients.start(name, PER_S)
            record_rate(fleet, record, STEP_S)
            if has_trouble():
                fleet.cut_apart(*INSTANCES_BY_ZONE.values())
                record.write("the data centres are cut off from each other")
            for _ in range(CUT_S // STEP_S):
                record_rate(fleet, record, STEP_S)
            fleet.cut_apart()
            record.write("the cut has ended")
            record_rate(fleet, record, STEP_S)
        return QUOTA.holds(clients, record_runs(fleet, record), record)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
