"""Callers in threads: they look up instances, send requests and record the outcomes."""

import http.client
import itertools
import json
import random
import threading
import time
from collections.abc import Callable

from sequoiahook.world.instance import Address
from soak.observations import SentRequest
from soak.sending_ahead import Answer, send_ahead
from standins.platform_documents import PORTS
from standins.platform_fleet import Request

__all__ = ["Callers"]

LOOKUP_LIFETIME_S = 1.5
"""Time for which a caller uses the result of a look-up."""

DEADLINE_MS = 2_000
RESPONSE_TIMEOUT_S = DEADLINE_MS / 1000 + 0.5
CONNECT_TIMEOUT_S = 1.0
REQUEST_PAUSE_S = 0.02
REQUESTS_PER_CONNECTION = 30
AFFINITY_KEY_COUNT = 40
PUBLIC_PREFIX = "/open/"
ROUTES = (
    ("/look/", "GET", True, 4),
    ("/write/", "POST", False, 3),
    ("/split/", "POST", False, 2),
    (PUBLIC_PREFIX, "GET", True, 1),
)
"""Path prefix, method, whether requests are idempotent, and weight of each route."""

UPLOAD_BYTES = 20_000
AHEAD_SHARE = 0.1
"""Share of the sends in which several requests are written before any answer."""

AHEAD_MAX = 4
CRASH_SHARE = 0.02
"""Share of the requests that are those on which targets end, while there are any."""


class Callers:
    """Threads that send requests until the context exits.

    Attributes:
        requests: Completed requests with their outcomes.

    Args:
        host_by_instance: IP address of each instance.
        keys: Returns the keys to present, including unknown and withdrawn ones.
        extra_prefixes: Returns the path prefixes of temporary routes.
        crash_paths: Returns the paths of requests on which targets end.
        count: Number of callers.
        seed: Seed of their random choices.
    """

    def __init__(
        self,
        host_by_instance: dict[str, str],
        keys: Callable[[], list[str]],
        extra_prefixes: Callable[[], list[str]],
        crash_paths: Callable[[], list[str]],
        count: int,
        seed: int,
    ):
        self.requests: list[SentRequest] = []
        self._host_by_instance = host_by_instance
        self._instance_by_host = {host: name for name, host in host_by_instance.items()}
        self._keys = keys
        self._extra_prefixes = extra_prefixes
        self._crash_paths = crash_paths
        self._request_numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/{i}"),))
            for i in range(count)
        ]

    def __enter__(self) -> "Callers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng: random.Random) -> None:
        hosts, looked_up_at = [], 0.0
        connection, instance, remaining = None, "", 0
        while not self._stopped.is_set():
            now = time.monotonic()
            if now - looked_up_at > LOOKUP_LIFETIME_S or not hosts:
                hosts = (
                    self._look_up(rng) or hosts or list(self._host_by_instance.values())
                )
                looked_up_at = now
            if (
                connection is None
                or self._host_by_instance[instance] not in hosts
                or not remaining
            ):
                if connection is not None:
                    connection.close()
                instance = self._instance_by_host[rng.choice(hosts)]
                connection, remaining = self._connect(instance), REQUESTS_PER_CONNECTION
            if connection is not None:
                is_open = self._send(
                    connection, instance, rng, remaining < REQUESTS_PER_CONNECTION
                )
                remaining -= 1
                if not is_open:
                    connection.close()
                    connection = None
            self._stopped.wait(REQUEST_PAUSE_S)
        if connection is not None:
            connection.close()

    def _look_up(self, rng: random.Random) -> list[str]:
        instances = rng.sample(
            sorted(self._host_by_instance), min(3, len(self._host_by_instance))
        )
        for instance in instances:
            address = Address(self._host_by_instance[instance], PORTS.lookups)
            connection = http.client.HTTPConnection(*address, timeout=CONNECT_TIMEOUT_S)
            try:
                path = "/-/resolve?name=a.example&region=north&zone=north-a"
                connection.request("GET", path)
                addresses = json.loads(connection.getresponse().read())["addresses"]
                return [text.rpartition(":")[0] for text in addresses]
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue  # Callers try the next instance.
            finally:
                connection.close()
        return []

    def _connect(self, instance: str) -> http.client.HTTPConnection | None:
        address = Address(self._host_by_instance[instance], PORTS.callers)
        connection = http.client.HTTPConnection(*address, timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            return None  # The caller chooses an instance anew next time.
        connection.sock.settimeout(RESPONSE_TIMEOUT_S)
        return connection

    def _send(
        self, connection, instance: str, rng: random.Random, is_reused: bool
    ) -> bool:
        """Send one request, record it and return whether the connection stays open."""
        if rng.random() < AHEAD_SHARE:
            return self._send_ahead(connection, instance, rng, is_reused)
        prefix, method, is_idempotent = self._draw_route(rng)
        request_id = f"{next(self._request_numbers)}-{rng.randrange(1 << 30):x}"
        key = "" if prefix == PUBLIC_PREFIX else rng.choice(self._keys())
        path = f"{prefix}{request_id}"
        crash_paths = self._crash_paths()
        if crash_paths and rng.random() < CRASH_SHARE:
            path, method, is_idempotent, key = crash_paths[0], "GET", True, ""
        request = Request(
            path,
            method,
            key=key,
            id=request_id,
            body=b"x" * UPLOAD_BYTES if path.startswith("/split/") else b"",
            deadline_ms=DEADLINE_MS,
            headers=(("Cookie", f"Affinity-Key={rng.randrange(AFFINITY_KEY_COUNT)}"),),
        )
        sent_at = time.monotonic()
        sent = SentRequest(
            request_id, request.path, is_idempotent, key, instance, sent_at, sent_at,
            is_reused=is_reused,
        )  # fmt: skip
        try:
            connection.request(
                method, request.path, request.body, request.all_headers()
            )
            sent = sent._replace(sent_at=time.monotonic())
            response = connection.getresponse()
            body = response.read().decode("utf-8", "replace")
        except TimeoutError:
            self._record(sent, error="timeout")
            return False
        except (OSError, http.client.HTTPException):
            self._record(sent, error="cut")
            return False
        self._record(
            sent,
            status=response.status,
            response_id=response.getheader("Request-Id", ""),
            stamp=response.getheader("Server-Stamp", ""),
            body=body,
        )
        return not response.will_close

    def _send_ahead(
        self, connection, instance: str, rng: random.Random, is_reused: bool
    ) -> bool:
        """Send several requests at once; return whether the connection stays open."""
        sent_at = time.monotonic()
        requests = []
        for _ in range(rng.randint(2, AHEAD_MAX)):
            request_id = f"{next(self._request_numbers)}-{rng.randrange(1 << 30):x}"
            cookie = ("Cookie", f"Affinity-Key={rng.randrange(AFFINITY_KEY_COUNT)}")
            requests.append(
                Request(
                    f"/look/{request_id}",
                    key=rng.choice(self._keys()),
                    id=request_id,
                    deadline_ms=DEADLINE_MS,
                    headers=(cookie,),
                )
            )
        sent = [
            SentRequest(
                request.id, request.path, True, request.key, instance, sent_at, sent_at,
                is_reused=is_reused or index > 0,
            )
            for index, request in enumerate(requests)
        ]  # fmt: skip
        is_open = True
        try:
            answers = list(send_ahead(connection, requests))
        except OSError:
            answers = [Answer(error="cut")] * len(requests)
        for request, answer in zip(sent, answers, strict=True):
            self._record(
                request,
                status=answer.status,
                error=answer.error,
                response_id=answer.headers.get("request-id", ""),
                stamp=answer.headers.get("server-stamp", ""),
                body=answer.body,
            )
            is_open = not answer.error and answer.headers.get("connection") != "close"
        return is_open

    def _draw_route(self, rng: random.Random) -> tuple[str, str, bool]:
        extra_routes = [(prefix, "GET", True, 1) for prefix in self._extra_prefixes()]
        routes = [*ROUTES, *extra_routes]
        weights = [weight for *_, weight in routes]
        prefix, method, is_idempotent, _ = rng.choices(routes, weights)[0]
        return prefix, method, is_idempotent

    def _record(self, sent: SentRequest, **outcome) -> None:
        self.requests.append(sent._replace(ended_at=time.monotonic(), **outcome))
