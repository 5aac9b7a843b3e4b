"""Runs the stateful tests with random seeds for a given time.

Run as ``python -m tests.fuzz --seconds 60``. Each seed is printed before its run;
``python -m tests.fuzz --seed N`` repeats a run.
"""

import argparse
import secrets
import sys
import time
from pathlib import Path

import pytest

STATEFUL_MARK = "RuleBasedStateMachine"
SEED_BITS = 32


def stateful_test_files():
    directory = Path(__file__).parent
    return [
        str(path)
        for path in sorted(directory.glob("test_*.py"))
        if STATEFUL_MARK in path.read_text()
    ]


def run_tests(seed):
    """Run all stateful tests with one seed and return the exit code of pytest."""
    print(f"seed {seed}", flush=True)
    options = ["-p", "no:cacheprovider", "--hypothesis-profile=fuzz"]
    return pytest.main([*options, f"--hypothesis-seed={seed}", *stateful_test_files()])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int)
    arguments = parser.parse_args()
    if arguments.seed is not None:
        sys.exit(run_tests(arguments.seed))
    deadline_at = time.monotonic() + arguments.seconds
    while time.monotonic() < deadline_at:
        exit_code = run_tests(secrets.randbits(SEED_BITS))
        if exit_code:
            sys.exit(exit_code)


if __name__ == "__main__":
    main()
