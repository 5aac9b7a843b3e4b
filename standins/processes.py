"""Functions to start and end the processes of a fleet on this machine."""

import json
import select
import subprocess
import sys
from pathlib import Path
from typing import Any

__all__ = ["ROOT", "end_process", "start_process"]

ROOT = Path(__file__).resolve().parent.parent
"""Directory of the packages. A module that Python runs by its name is searched for in
the working directory first, and it must be the one that belongs to the caller."""

READY_TIMEOUT_S = 15
EXIT_TIMEOUT_S = 10


def start_process(
    arguments: list[str], log_path: Path
) -> tuple[subprocess.Popen, dict[str, Any]]:
    """Run a Python module and wait for the JSON line that it prints when ready.

    Args:
        arguments: Name of the module, followed by its arguments.
        log_path: File to which standard error is appended.

    Returns:
        The process and the parsed line.

    Raises:
        RuntimeError: If no line is printed in time. The process has been ended.
    """
    with log_path.open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
        )
    readable, _, _ = select.select([process.stdout], [], [], READY_TIMEOUT_S)
    line = process.stdout.readline() if readable else b""
    if not line:
        end_process(process)
        text = log_path.read_text(errors="replace")
        raise RuntimeError(f"{arguments[0]} did not start: {text[-2000:]}")
    return process, json.loads(line)


def end_process(process: subprocess.Popen) -> None:
    """Kill a process if it runs, and wait for its exit."""
    if process.poll() is None:
        process.kill()
    process.wait(EXIT_TIMEOUT_S)
    if process.stdout is not None:
        process.stdout.close()
