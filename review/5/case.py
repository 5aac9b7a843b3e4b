"""After a freeze, both instances of a zone act as its leader, and stay so."""

import signal
import time

from review.harness import Deployment, Load, Quota, Record, run_case

REGIONS = ("north", "south", "east", "west")
ZONES = {f"{region}-{letter}": region for region in REGIONS for letter in "ab"}
PER_ZONE = 3
BUSY_ZONE = "north-a"
REMOVED = f"{BUSY_ZONE}-3"
QUOTA = Quota(rate_per_s=60, burst=60)
LOAD_PER_S = 132.0
"""Requests to each instance of the busy zone; both together are 4.4 times the rate."""

KEY = "key-two-a"
FREEZE_S = 4.0
BEFORE_S = 10
AFTER_S = 14


def case(record: Record, is_disrupted: bool) -> bool:
    """Return whether more requests ran in a window than the quota allows."""
    zone_by_name = {
        f"{zone}-{number}": zone for zone in ZONES for number in range(1, PER_ZONE + 1)
    }
    names = tuple(zone_by_name)
    pair = [f"{BUSY_ZONE}-1", f"{BUSY_ZONE}-2"]
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
        time.sleep(6)
        deployment.signal(REMOVED, signal.SIGTERM)
        deployment.wait_exit(REMOVED)
        record.write("instance removed", name=REMOVED)
        time.sleep(3)
        load = Load(
            deployment, KEY, dict.fromkeys(pair, LOAD_PER_S), callers_per_instance=16
        )
        load.start()
        record.write("load started", limit=QUOTA.limit)
        time.sleep(BEFORE_S)
        leaders = _leaders(deployment, pair)
        record.write("leaders as logged", names=leaders)
        leader = leaders[0]
        if is_disrupted:
            deployment.signal(leader, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        if is_disrupted:
            deployment.signal(leader, signal.SIGCONT)
        time.sleep(AFTER_S)
        load.stop()
        record.write("leaders as logged", names=_leaders(deployment, pair))
        runs = deployment.record_runs()
    worst = QUOTA.worst_window(load, runs)
    record.write("most requests that ran in 5 s", count=worst, limit=QUOTA.limit)
    return worst > QUOTA.limit


def _leaders(deployment: Deployment, names: list[str]) -> list[str]:
    """Return the instances that last logged that they lead their zone."""
    leaders = []
    for name in names:
        records = deployment.log_records(name)
        roles = [r["is_keeper"] for r in records if r["event"] == "keeper"]
        if roles and roles[-1]:
            leaders.append(name)
    return leaders


if __name__ == "__main__":
    run_case(__file__, case)
