"""Below 24 instances, one that restarts and the others no longer know each other."""

import signal
import time

from review.harness import Deployment, Load, Quota, Record, run_case

LETTERS_BY_REGION = {"north": "abc", "south": "abc", "east": "ab"}
ZONES = {
    f"{r}-{letter}": r for r, letters in LETTERS_BY_REGION.items() for letter in letters
}
PER_ZONE = 3
BUSY_ZONE = "north-a"
REMOVED = "east-b-3"
RESTARTED = ("north-a-1", "south-a-1", "east-a-1")
"""One of each region, one after the other, as at the start of a rolling restart."""

QUOTA = Quota(rate_per_s=60, burst=60)
LOAD_PER_S = 88.0
"""Requests to each instance of the busy zone; all together are 4.4 times the rate."""

KEY = "key-two-a"
EXPIRY_S = 30
"""Time without a report after which instances delete the entry of another one."""

AFTER_EXPIRY_S = 22


def case(record: Record, is_disrupted: bool) -> bool:
    """Return whether more requests ran in a window than the quota allows."""
    zone_by_name = {
        f"{zone}-{number}": zone for zone in ZONES for number in range(1, PER_ZONE + 1)
    }
    names = tuple(zone_by_name)
    busy = [name for name, zone in zone_by_name.items() if zone == BUSY_ZONE]
    with Deployment(record, ZONES) as deployment:
        deployment.is_first_start = True
        tenant = {
            "api_keys": [KEY],
            "priority": 1,
            "rate_per_s": QUOTA.rate_per_s,
            "burst": QUOTA.burst,
            "allowed_regions": [],
        }
        deployment.configure(1, two=tenant)
        for number in range(1, 5):
            deployment.start_target(f"i-{number}", zone=BUSY_ZONE)
        for name in names:
            deployment.start_instance(name, zone_by_name[name])
        deployment.wait_ready(*names)
        time.sleep(4)
        deployment.is_first_start = False
        if is_disrupted:
            deployment.signal(REMOVED, signal.SIGTERM)
            deployment.wait_exit(REMOVED)
            record.write("instance removed", name=REMOVED)
        time.sleep(2)
        for name in RESTARTED:
            deployment.signal(name, signal.SIGTERM)
            deployment.wait_exit(name)
            deployment.start_instance(name, zone_by_name[name])
            deployment.wait_ready(name)
        restarted_at = time.monotonic()
        load = Load(
            deployment, KEY, dict.fromkeys(busy, LOAD_PER_S), callers_per_instance=12
        )
        load.start()
        record.write("load started", limit=QUOTA.limit)
        for wait_s in (EXPIRY_S - 5, 5, AFTER_EXPIRY_S):
            time.sleep(wait_s)
            for name in busy:
                found = sorted(deployment.look_up(name, ZONES[BUSY_ZONE]))
                record.write("look-up", to=name, names=found)
        load.stop()
        record.write("load ended", after_s=time.monotonic() - restarted_at)
        runs = deployment.record_runs()
    worst = QUOTA.worst_window(load, runs)
    record.write("most requests that ran in 5 s", count=worst, limit=QUOTA.limit)
    return worst > QUOTA.limit


if __name__ == "__main__":
    run_case(__file__, case)
