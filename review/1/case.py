"""After a drill of the store, instances that read through a peer use withdrawn keys."""

import threading
import time

from review.harness import Deployment, Record, run_case
from standins.fleet import wait_for
from standins.platform_documents import configuration_document, target_object
from standins.platform_fleet import Request

ZONES = {"north-a": "north", "north-b": "north"}
ZONE_BY_NAME = {"n1": "north-a", "n2": "north-b", "n3": "north-a", "n4": "north-b"}
SERVICE_BY_TARGET = {f"i-{n}": "desk" if n <= 4 else "vault" for n in range(1, 13)}
HEARTBEAT_S = 1.5
COPY_AGE_S = 2.0
AWAY_S = 2.0
OPERATOR_DELAY_S = 0.3
WITHDRAWAL_S = 5.0
KEY = "key-one-a"
OTHER_KEY = "key-one-b"
TRIES = 5


class Heartbeats(threading.Thread):
    """Writes the entries of the targets at their interval, one after the other.

    Attributes:
        is_store_away: Whether the store takes no writes; they then fail.
    """

    def __init__(self, deployment: Deployment):
        super().__init__(daemon=True)
        self.is_store_away = False
        self._deployment = deployment
        self._ended = threading.Event()
        self._sequence = 1

    def run(self) -> None:
        """Write until stopped."""
        while True:
            for target_id in SERVICE_BY_TARGET:
                if not self.is_store_away:
                    self.write(target_id)
                if self._ended.wait(HEARTBEAT_S / len(SERVICE_BY_TARGET)):
                    return

    def write(self, target_id: str) -> None:
        """Write the entry of one target."""
        self._sequence += 1
        entry = target_object(
            target_id,
            self._deployment.target_address(target_id),
            service=SERVICE_BY_TARGET[target_id],
            sequence=self._sequence,
        )
        self._deployment.control_store(put=[("servers", target_id, entry["spec"])])

    def stop(self) -> None:
        """Stop and wait."""
        self._ended.set()
        self.join()


def case(record: Record, is_disrupted: bool) -> bool:
    """Return whether a request with the withdrawn key ran."""
    names = tuple(ZONE_BY_NAME)
    with Deployment(record, ZONES) as deployment:
        deployment.is_first_start = True
        deployment.configure(1)
        for target_id, service in SERVICE_BY_TARGET.items():
            deployment.start_target(target_id, service=service)
        heartbeats = Heartbeats(deployment)
        heartbeats.start()
        for name, zone in ZONE_BY_NAME.items():
            deployment.start_instance(name, zone)
        deployment.wait_ready(*names)
        wait_for(lambda: deployment.look_up("n1") == set(names), "all are listed")
        time.sleep(5)
        for name in names:
            deployment.send(name, Request(id=f"before-{name}", key=KEY))

        if is_disrupted:
            _drill(deployment, heartbeats)
        else:
            time.sleep(COPY_AGE_S + AWAY_S)
        time.sleep(OPERATOR_DELAY_S)
        document = configuration_document(2)
        document["tenants"]["one"]["api_keys"] = [OTHER_KEY]
        state = deployment.control_store(put=[("config", "main", document)])
        acknowledged_at = time.monotonic()
        heartbeats.is_store_away = False
        record.write("store acknowledged withdrawal", revision=state["revision"])
        time.sleep(WITHDRAWAL_S + 1)
        sent_at_by_id = {}
        for index in range(TRIES):
            for name in names:
                request_id = f"{name}-{index}"
                sent_at_by_id[request_id] = time.monotonic()
                deployment.send(name, Request("/write/1", "POST", KEY, request_id))
            time.sleep(2)
        for name in names:
            deployment.send(name, Request(id=f"other-key-{name}", key=OTHER_KEY))
        heartbeats.stop()
        runs = deployment.record_runs()
    late = [
        run["id"]
        for run in runs
        if sent_at_by_id.get(run["id"], 0) > acknowledged_at + WITHDRAWAL_S
    ]
    record.write("requests with the withdrawn key that ran", ids=late)
    return bool(late)


def _drill(deployment: Deployment, heartbeats: Heartbeats) -> None:
    """Let the store be away and come back from a copy; targets then write again."""
    record = deployment.record
    deployment.control_store(keep_copy=True)
    time.sleep(COPY_AGE_S)
    heartbeats.is_store_away = True
    time.sleep(2 * HEARTBEAT_S / len(SERVICE_BY_TARGET))
    state = deployment.control_store(faults={"is_silent": True})
    record.write("store away", revision=state["revision"])
    time.sleep(AWAY_S)
    state = deployment.control_store(return_to_copy=True, faults={})
    record.write("store returned from a copy", revision=state["revision"])
    for target_id in SERVICE_BY_TARGET:
        heartbeats.write(target_id)


if __name__ == "__main__":
    run_case(__file__, case)
