"""Runs the stateful tests with fresh seeds for a given time.

Run as ``python -m tests.fuzz --seconds 60``. Each seed is printed before its run; a
failing one is repeated by ``python -m tests.fuzz --seed N``.
"""

import argparse
import secrets
import sys
import time
from pathlib import Path

import pytest

STATEFUL_MARK = "RuleBasedStateMachine"
SEED_BITS = 32


def stateful_files():
    folder = Path(__file__).parent
    return [
        str(path)
        for path in sorted(folder.glob("test_*.py"))
        if STATEFUL_MARK in path.read_text()
    ]


def run(seed):
    """Run every stateful test with one seed and return pytest's exit code."""
    print(f"seed {seed}", flush=True)
    options = ["-p", "no:cacheprovider", "--hypothesis-profile=fuzz"]
    return pytest.main([*options, f"--hypothesis-seed={seed}", *stateful_files()])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int)
    arguments = parser.parse_args()
    if arguments.seed is not None:
        sys.exit(run(arguments.seed))
    end = time.monotonic() + arguments.seconds
    while time.monotonic() < end:
        code = run(secrets.randbits(SEED_BITS))
        if code:
            sys.exit(code)


if __name__ == "__main__":
    main()
