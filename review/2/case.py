"""A stopping instance cuts requests that it accepted and that end within the grace."""

import signal
import threading
import time

from review.harness import Deployment, Record, run_case
from standins.fleet import wait_for
from standins.platform_fleet import Request

ZONES = {"north-a": "north", "north-b": "north"}
WORK_MS = 1_440
GRACE_S = 6.0
SENT_AFTER_S = (0.0, 0.4, 0.8, 1.2, 1.6, 2.0, 2.4, 2.8, 3.2, 3.6, 4.0, 4.2, 4.3, 4.4)
"""Times after the signal; callers may use a look-up answer of 1.5 s for 4.5 s."""


def case(record: Record, is_disrupted: bool) -> bool:
    """Return whether a request was cut."""
    with Deployment(record, ZONES) as deployment:
        deployment.is_first_start = True
        deployment.configure(1)
        for target_id in ("i-1", "i-2"):
            deployment.start_target(target_id)
        deployment.start_instance("n1", "north-a")
        deployment.start_instance("n2", "north-b")
        deployment.wait_ready("n1", "n2")
        wait_for(lambda: deployment.look_up("n1") == {"n1", "n2"}, "both are listed")
        time.sleep(4)
        for target_id in ("i-1", "i-2"):
            deployment.control_target(target_id, faults={"work_ms": WORK_MS})
        record.write("look-up", names=sorted(deployment.look_up("n1")))
        started_at = time.monotonic()
        if is_disrupted:
            deployment.signal("n1", signal.SIGTERM)
        outcome_by_id: dict[str, str] = {}
        threads = []
        for index, after_s in enumerate(SENT_AFTER_S):
            time.sleep(max(0.0, started_at + after_s - time.monotonic()))
            request = Request(
                f"/write/{index}", "POST", id=f"r{index}", body=b"x", deadline_ms=2_500
            )
            thread = threading.Thread(
                target=lambda request=request: outcome_by_id.__setitem__(
                    request.id, deployment.send("n1", request)
                )
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        ended_after_s = round(time.monotonic() - started_at, 3)
        record.write("all ended", after_s=ended_after_s)
        if is_disrupted:
            code = deployment.wait_exit("n1")
            after_s = round(time.monotonic() - started_at, 3)
            record.write("instance exited", name="n1", code=code, after_s=after_s)
        run_ids = {run["id"] for run in deployment.record_runs()}
    cut = [
        request_id
        for request_id, outcome in outcome_by_id.items()
        if not outcome.isdigit() and request_id in run_ids
    ]
    record.write("requests passed on and cut without an answer", ids=sorted(cut))
    return bool(cut)


if __name__ == "__main__":
    run_case(__file__, case)
