"""While the instance that relays the store is frozen, others use a draining target."""

import signal
import threading
import time

from review.harness import Deployment, Record, run_case
from sequoiahook.decisions.rendezvous import order
from standins.fleet import wait_for
from standins.platform_documents import target_object
from standins.platform_fleet import Request

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
ZONE_BY_NAME = {"n1": "north-a", "n2": "north-b", "n3": "north-a"}
TARGETS = ("i-1", "i-2", "i-3")
REPLACEMENT = "i-4"
RELAY_KEY = "platform"
DRAIN_S = 2.5
FREEZE_S = 4.0
START_FIRST_S = 0.35
"""Time between the start of the new target and the draining of the old one."""

OTHER_KEYS = 12
LATE_S = (2.6, 2.8, 3.0)


def case(record: Record, is_disrupted: bool) -> bool:
    """Return whether a request reached the draining target too late."""
    names = tuple(ZONE_BY_NAME)
    with Deployment(record, ZONES) as deployment:
        deployment.is_first_start = True
        deployment.configure(1)
        for target_id in TARGETS:
            deployment.start_target(target_id)
        deployment.start_target_process(REPLACEMENT)
        for name, zone in ZONE_BY_NAME.items():
            deployment.start_instance(name, zone)
        deployment.wait_ready(*names)
        wait_for(lambda: deployment.look_up("n1") == set(names), "all are listed")
        time.sleep(5)
        frozen, *others = order(RELAY_KEY, names)
        entry = others[-1]
        record.write("instances", frozen=frozen, entry=entry)
        deployment.send(entry, Request("/look/0", id="first"))
        (run,) = [run for run in deployment.runs() if run["id"] == "first"]
        leaving = run["target"]
        time.sleep(4)

        deployment.register_target(REPLACEMENT, service="vault")
        record.write("target registered", id=REPLACEMENT)
        time.sleep(START_FIRST_S)
        if is_disrupted:
            deployment.signal(frozen, signal.SIGSTOP)
            threading.Timer(
                FREEZE_S, lambda: deployment.signal(frozen, signal.SIGCONT)
            ).start()
        address = deployment.target_address(leaving)
        entry_object = target_object(leaving, address, state="draining", sequence=2)
        deployment.control_store(put=[("servers", leaving, entry_object["spec"])])
        acknowledged_at = time.monotonic()
        deployment.control_target(leaving, faults={"is_leaving": True})
        record.write("store acknowledged draining", id=leaving)
        for index, late_s in enumerate(LATE_S):
            time.sleep(max(0.0, acknowledged_at + late_s - time.monotonic()))
            deployment.send(entry, Request(f"/look/{index + 1}", id=f"late{index}"))
        time.sleep(FREEZE_S - LATE_S[-1] + 0.5)
        runs = deployment.record_runs()
    late = [
        run["id"]
        for run in runs
        if run["target"] == leaving and run["at"] > acknowledged_at + DRAIN_S
    ]
    record.write("requests that reached the draining target too late", ids=late)
    return bool(late)


if __name__ == "__main__":
    run_case(__file__, case)
