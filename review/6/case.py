"""One upstream reports a load that its counter got wrong, and the instances end."""

import signal
import sys
import threading
import time
from pathlib import Path

from review.common_2 import (
    Clients,
    Deployment,
    Record,
    has_trouble,
    lost_holds,
    record_runs,
    run_case,
    used_mb,
)

ZONE_BY_INSTANCE = {"edge-01": "north-a", "edge-02": "north-b"}
TARGETS_PER_ZONE = 4
WORK_MS = 300
TRUE_LOAD = "1,0,4,100"
WRONG_LOAD = "0,4294967295,4,100"
"""Running and waiting requests, slots and pace. The counter of the waiting ones has
gone below 0 and is read as an unsigned number of 32 bits."""

CLIENTS_PER_INSTANCE = 10
PER_S = 20
IN_TOUCH_S = 5
BEFORE_S = 4
AFTER_S = 12
RESTART_S = 0.5
CHECK_S = 0.01


class Platform:
    """Kills processes that exceed their memory, and restarts what has ended.

    Args:
        fleet: The deployment.
        record: The record.
    """

    def __init__(self, fleet: Deployment, record: Record):
        self._fleet = fleet
        self._record = record
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(name,))
            for name in ZONE_BY_INSTANCE
        ]

    def __enter__(self) -> "Platform":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, name: str) -> None:
        memory_mb = self._fleet.limits["memory_mb"]
        while not self._stopping.wait(CHECK_S):
            process = self._fleet.processes_by_name[name]
            used = used_mb(process.pid)
            if used > memory_mb:
                self._fleet.signal(name, signal.SIGKILL)
                process.wait()
                self._record.write(f"{name} has {used:.0f} MB, and is killed")
            if process.poll() is not None:
                time.sleep(RESTART_S)
                self._fleet.start_instance(name, ZONE_BY_INSTANCE[name])


def play(record: Record) -> bool:
    """Play the case and return whether the rule held."""
    names = tuple(ZONE_BY_INSTANCE)
    with Deployment() as fleet:
        fleet.configure(1)
        for zone in ZONE_BY_INSTANCE.values():
            for number in range(TARGETS_PER_ZONE):
                target = f"{zone}-{number}"
                fleet.start_target(target, zone=zone)
                _set_load(fleet, target, TRUE_LOAD)
        for name, zone in ZONE_BY_INSTANCE.items():
            fleet.start_instance(name, zone)
        fleet.wait_ready(*names)
        record.write("all instances are ready")
        time.sleep(IN_TOUCH_S)
        with Platform(fleet, record), Clients(fleet, record) as clients:
            for name in names:
                clients.start(
                    name,
                    PER_S,
                    CLIENTS_PER_INSTANCE,
                    method="POST",
                    path="/write/1",
                    body=b"result",
                )
            time.sleep(BEFORE_S)
            if has_trouble():
                _set_load(fleet, "north-a-0", WRONG_LOAD)
                record.write("one upstream reports a wrong load")
            time.sleep(AFTER_S)
        ran_ids = {run["id"] for run in record_runs(fleet, record)}
    return lost_holds(clients, names, ran_ids, record)


def _set_load(fleet: Deployment, target: str, load: str) -> None:
    fleet.control_target(target, faults={"work_ms": WORK_MS, "load": load})


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
