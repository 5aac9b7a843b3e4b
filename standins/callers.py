"""Callers that send requests from threads and record the outcomes."""

import http.client
import itertools
import json
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from standins.fleet import http_call

__all__ = ["CallerResult", "Callers", "LookedUpPorts"]

HTTP_OK = 200


class CallerResult(NamedTuple):
    """Outcome of a request as seen by the caller.

    Attributes:
        request_id: Request id, which the target records.
        status: HTTP status; 0 if the connection failed.
        ran: ``ran``, ``not run`` or ``unknown``.
        cause: Cause of a failure; empty if a target responded.
        response_id: Request id in the target's response; empty if there is none.
    """

    request_id: str
    status: int
    ran: str
    cause: str
    response_id: str


class Callers:
    """Threads that each send one request after another.

    Attributes:
        results: Outcomes of all completed requests.

    Args:
        ports: Returns the caller ports of the instances to use.
        method: HTTP method.
        path: Path and query.
        key: API key to present.
        threads: Number of callers.
        pause_s: Pause of each caller between two requests, in seconds.
    """

    _request_numbers = itertools.count(1)

    def __init__(
        self,
        ports: Callable[[], list[int]],
        method: str,
        path: str,
        key: str,
        threads: int = 8,
        pause_s: float = 0.01,
    ):
        self.results: list[CallerResult] = []
        self._ports = ports
        self._method = method
        self._path = path
        self._key = key
        self._pause_s = pause_s
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index,))
            for index in range(threads)
        ]

    def __enter__(self) -> "Callers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    @property
    def served_count(self) -> int:
        """Number of requests that a target served."""
        return sum(result.status == HTTP_OK for result in self.results)

    def _run(self, index: int) -> None:
        for request_index in itertools.count(index):
            if self._stopped.is_set():
                return
            ports = self._ports()
            self.results.append(self._send(ports[request_index % len(ports)]))
            time.sleep(self._pause_s)

    def _send(self, port: int) -> CallerResult:
        request_id = f"request-{next(self._request_numbers)}"
        headers = {
            "authorization": f"Bearer {self._key}",
            "x-request-id": request_id,
        }
        try:
            response = http_call(port, self._method, self._path, None, headers)
            document = response.document
        except (OSError, http.client.HTTPException, json.JSONDecodeError) as error:
            return CallerResult(request_id, 0, "unknown", repr(error), "")
        return CallerResult(
            request_id,
            response.status,
            document.get("ran", "ran"),
            document.get("error", ""),
            document.get("request_id", ""),
        )


class LookedUpPorts:
    """Ports of the instances in a look-up result, cached for its lifetime.

    Args:
        port: Caller port of the instance that performs the lookup.
        service: Service to look up.
    """

    def __init__(self, port: int, service: str):
        self._port = port
        self._service = service
        self._lock = threading.Lock()
        self._expires_at = 0.0
        self._ports: list[int] = []

    def __call__(self) -> list[int]:
        """Return the ports, from a new look-up if the cached result has expired."""
        with self._lock:
            if time.monotonic() >= self._expires_at:
                target = f"/sequoiahook/lookup?service={self._service}"
                document = http_call(self._port, "GET", target).document
                self._ports = [entry["port"] for entry in document["instances"]]
                self._expires_at = time.monotonic() + document["lifetime_ms"] / 1000
            return self._ports
