"""Callers that send requests from threads and keep what became of each."""

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
    """What a caller knows of one request.

    Attributes:
        request_id: Its id, which the target records.
        status: HTTP status; 0 if the connection broke.
        ran: ``ran``, ``not run`` or ``unknown``.
        cause: Why there is no answer; empty if there is one.
        answered_id: The request id in the target's answer; empty if there is none.
    """

    request_id: str
    status: int
    ran: str
    cause: str
    answered_id: str


class Callers:
    """A number of threads that send requests one after the other.

    Args:
        ports: Returns the ports of the instances to use now.
        method: HTTP method.
        path: Path and query.
        key: Key to show.
        threads: How many callers there are.
        pause_s: Pause of each caller between two requests, in seconds.
    """

    _numbers = itertools.count(1)

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
    def answered(self) -> int:
        """Number of requests with an answer of a target."""
        return sum(result.status == HTTP_OK for result in self.results)

    def _run(self, index: int) -> None:
        for turn in itertools.count(index):
            if self._stopped.is_set():
                return
            ports = self._ports()
            self.results.append(self._send(ports[turn % len(ports)]))
            time.sleep(self._pause_s)

    def _send(self, port: int) -> CallerResult:
        request_id = f"request-{next(self._numbers)}"
        headers = {
            "authorization": f"Bearer {self._key}",
            "x-request-id": request_id,
        }
        try:
            answer = http_call(port, self._method, self._path, None, headers)
            document = answer.document
        except (OSError, http.client.HTTPException, json.JSONDecodeError) as error:
            return CallerResult(request_id, 0, "unknown", repr(error), "")
        return CallerResult(
            request_id,
            answer.status,
            document.get("ran", "ran"),
            document.get("error", ""),
            document.get("request_id", ""),
        )


class LookedUpPorts:
    """Ports of the instances that a look-up named, kept for its lifetime.

    Args:
        port: Caller port of the instance that is asked.
        service: The service to look up.
    """

    def __init__(self, port: int, service: str):
        self._port = port
        self._service = service
        self._lock = threading.Lock()
        self._expires_at = 0.0
        self._ports: list[int] = []

    def __call__(self) -> list[int]:
        """Return the ports, looked up again if their lifetime is over."""
        with self._lock:
            if time.monotonic() >= self._expires_at:
                target = f"/sequoiahook/lookup?service={self._service}"
                document = http_call(self._port, "GET", target).document
                self._ports = [entry["port"] for entry in document["instances"]]
                self._expires_at = time.monotonic() + document["lifetime_ms"] / 1000
            return self._ports
