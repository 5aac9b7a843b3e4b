"""Measure the cost of one instance on real sockets, compared with direct calls.

Run with ``python -m bench.sockets [--seconds N] [--json]`` while the machine is idle.
It starts a platform stand-in, one target and one instance on loopback, and uses one
caller at a time for latency and several for throughput. Direct calls to the target and
calls through the instance alternate, so that other load on the machine affects both.
"""

import argparse
import http.client
import json
import statistics
import threading
import time
from pathlib import Path
from typing import Any

from sequoiahook.world.organisation import key_digest
from standins.fleet import Fleet, http_call, wait_for

__all__ = ["main"]

API_KEY = "key-of-the-bench"
CLOCK_TICKS_PER_S = 100
PAGE_KIB = 4
CALLER_COUNT = 4
WARM_UP_CALLS = 200


def configuration(port: int) -> dict[str, Any]:
    """Return a configuration with one service, target and organisation."""
    target = {
        "service": "s",
        "data_centre": "dc-a",
        "host": "127.0.0.1",
        "port": port,
        "slots": 64,
    }
    organisation = {
        "rate_per_s": 100_000,
        "burst": 100_000,
        "keys_by_name": {"k": {"digest": key_digest(API_KEY)}},
    }
    return {
        "regions_by_name": {"north": {"data_centres": ["dc-a"]}},
        "services_by_name": {"s": {"path_prefix": "/s"}},
        "targets_by_name": {"t": target},
        "organisations_by_name": {"o": organisation},
    }


class Caller:
    """A caller with one persistent connection."""

    def __init__(self, port: int, path: str):
        self._connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        self._path = path

    def call(self) -> float:
        """Send one request and return its latency in milliseconds.

        Raises:
            RuntimeError: If the status is not 200.
        """
        started = time.perf_counter()
        headers = {"authorization": f"Bearer {API_KEY}"}
        self._connection.request("GET", self._path, headers=headers)
        response = self._connection.getresponse()
        response.read()
        if response.status != http.client.OK:
            raise RuntimeError(f"unexpected status {response.status} for {self._path}")
        return (time.perf_counter() - started) * 1000


def processor_time_s(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_kib(pid: int) -> int:
    """Return the resident memory of a process, in KiB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KIB


def measure_throughput(
    port: int, path: str, pid: int, seconds: float
) -> dict[str, float]:
    """Call a path with several callers for a time in seconds.

    Returns:
        Calls per second, processor time of the process in ms per 1000 calls, and calls
        per second of its processor time.
    """
    stop_at = time.monotonic() + seconds
    counts = [0] * CALLER_COUNT

    def drive(index: int) -> None:
        caller = Caller(port, path)
        while time.monotonic() < stop_at:
            caller.call()
            counts[index] += 1

    used_s = processor_time_s(pid)
    threads = [threading.Thread(target=drive, args=(i,)) for i in range(CALLER_COUNT)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used_s = processor_time_s(pid) - used_s
    calls = sum(counts)
    return {
        "calls_per_s": calls / seconds,
        "processor_ms_per_1000": used_s * 1_000_000 / calls,
        "calls_per_core_s": calls / used_s,
    }


def measure(seconds: float) -> dict[str, Any]:
    """Return the figures by name; each part of the measurement takes ``seconds``."""
    with Fleet() as fleet:
        target_port = fleet.start_target("t", 64, "--service-ms", "0")
        instance = fleet.start_instance("a-1", "dc-a")
        pid = instance.process.pid
        result = fleet.patch("a-1", 0, configuration(target_port))
        if result.get("outcome") != "accepted":
            raise RuntimeError(str(result))
        headers = {"authorization": f"Bearer {API_KEY}"}
        port = instance.caller_port
        wait_for(
            lambda: http_call(port, "GET", "/s/x", headers=headers).status == 200,
            "the instance serves",
            30,
        )
        idle = processor_time_s(pid)
        time.sleep(seconds)
        idle = (processor_time_s(pid) - idle) / seconds
        idle_kib = memory_kib(pid)
        direct_caller, steered_caller = (
            Caller(target_port, "/s/x"),
            Caller(port, "/s/x"),
        )
        for _ in range(WARM_UP_CALLS):
            direct_caller.call()
            steered_caller.call()
        pairs = []
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            pairs.append((direct_caller.call(), steered_caller.call()))
        requests = measure_throughput(port, "/s/x", pid, seconds)
        lookups = measure_throughput(
            port, "/sequoiahook/lookup?service=s", pid, seconds
        )
        return {
            "pairs": len(pairs),
            "direct_p50_ms": statistics.median(pair[0] for pair in pairs),
            "through_p50_ms": statistics.median(pair[1] for pair in pairs),
            "added_p50_ms": statistics.median(pair[1] - pair[0] for pair in pairs),
            "ratio_p50": statistics.median(pair[1] / pair[0] for pair in pairs),
            "idle_core_percent": idle * 100,
            "idle_memory_kib": idle_kib,
            "loaded_memory_kib": memory_kib(pid),
            **{f"request_{name}": value for name, value in requests.items()},
            **{f"look_up_{name}": value for name, value in lookups.items()},
        }


def main() -> None:
    """Measure and print the figures as a table or as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    figures = measure(arguments.seconds)
    if arguments.json:
        print(json.dumps(figures, indent=2))
        return
    for name, value in figures.items():
        print(f"{name:32}{value:12.3f}")


if __name__ == "__main__":
    main()
