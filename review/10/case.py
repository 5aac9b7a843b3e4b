"""A kept connection whose first request offers another protocol, as h2c clients do."""

import http.client
import sys
import threading
import time
from pathlib import Path

from review.common_2 import Deployment, Record, has_trouble, record_runs, run_case

CLIENTS = 20
TIMEOUT_MS = 2_500
"""``timeout_ms`` of the routes."""

LATE_MS = 500
DEADLINE_MS = 8_000
IN_TOUCH_S = 5
PAUSE_S = 0.5
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAAP__",
}
"""What HTTP/1.1 clients that also speak HTTP/2 add to the first request of a
connection (RFC 7540, 3.2). A server that does not ignores it."""


class Client:
    """A client that sends two requests over one connection.

    Attributes:
        statuses: Status of each answer; 0 without one.
        waits_ms: Time until each answer, or until the client gave up.
    """

    def __init__(self, number: int, address, record: Record):
        self.statuses: list[int] = []
        self.waits_ms: list[float] = []
        self._number = number
        self._connection = http.client.HTTPConnection(
            *address, timeout=DEADLINE_MS / 1000
        )
        self._record = record

    def run(self) -> None:
        """Send a look-up, pause, and record a result over the same connection."""
        offer = OFFER if has_trouble() else {}
        self._send("GET", f"/look/{self._number}", b"", offer)
        time.sleep(PAUSE_S)
        self._send("POST", f"/write/{self._number}", b"result", {})
        self._connection.close()

    def _send(self, method: str, path: str, body: bytes, fields: dict) -> None:
        request_id = f"{method.lower()}-{self._number}"
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": "Bearer key-one-a",
            **fields,
        }
        sent_at, status = time.monotonic(), 0
        try:
            self._connection.request(method, path, body or None, headers)
            response = self._connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            self._record.write_quietly(f"{request_id}: {type(error).__name__}")
        wait_ms = (time.monotonic() - sent_at) * 1000
        self.statuses.append(status)
        self.waits_ms.append(wait_ms)
        self._record.write_quietly(
            f"sent {sent_at:.3f} id {request_id} {method} {path} {fields} "
            f"status {status} after {wait_ms:.0f} ms"
        )


def play(record: Record) -> bool:
    """Play the case and return whether the rule held."""
    with Deployment() as fleet:
        fleet.configure(1)
        fleet.start_target("target-0")
        fleet.start_target("target-1", zone="north-b")
        address = fleet.start_instance("edge-01")
        fleet.wait_ready("edge-01")
        time.sleep(IN_TOUCH_S)
        clients = [Client(number, address, record) for number in range(CLIENTS)]
        threads = [threading.Thread(target=client.run) for client in clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        runs = record_runs(fleet, record)
    answered = sum(status > 0 for c in clients for status in c.statuses)
    waits_ms = [wait_ms for c in clients for wait_ms in c.waits_ms]
    unanswered = sum(wait_ms > TIMEOUT_MS for wait_ms in waits_ms)
    overdue = sum(wait_ms > TIMEOUT_MS + LATE_MS for wait_ms in waits_ms)
    record.write(
        f"{len(waits_ms)} requests were sent, {answered} answered, {len(runs)} run; "
        f"{unanswered} had no answer at the route's time-out, "
        f"{overdue} of them none half a second later"
    )
    return 2 * overdue <= unanswered


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
