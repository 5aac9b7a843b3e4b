"""Starting and ending the processes of a fleet on this machine."""

import json
import select
import subprocess
import sys
from pathlib import Path
from typing import Any

__all__ = ["end_process", "start_process"]

READY_TIMEOUT_S = 15
END_TIMEOUT_S = 10


def start_process(
    arguments: list[str], log_path: Path
) -> tuple[subprocess.Popen, dict[str, Any]]:
    """Start a module and wait for the line of JSON that it prints when it listens.

    Args:
        arguments: Name of the module, then its arguments.
        log_path: Where its standard error goes.

    Raises:
        RuntimeError: If it prints none in time; the process is ended.
    """
    with log_path.open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
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
    """End a process that was started here, and wait for its end."""
    if process.poll() is None:
        process.kill()
    process.wait(END_TIMEOUT_S)
    if process.stdout is not None:
        process.stdout.close()
