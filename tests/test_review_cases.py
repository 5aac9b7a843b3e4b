"""The set-up of each case in review/ runs with the stand-ins as they are."""

import importlib
import os
import sys
import time
import types
from pathlib import Path

import pytest

from standins.processes import ROOT

CASES = sorted(int(path.parent.name) for path in ROOT.glob("review/*/case.py"))
FIRST_OF_SECOND_REVIEW = 6


class SetUpCompleteError(Exception):
    """The case has reached its load."""


def complete(*_args, **_options):
    raise SetUpCompleteError


class QuietRecord:
    def write(self, *_args, **_fields):
        pass

    write_at = write_quietly = since_start = write


@pytest.fixture
def start_case(monkeypatch):
    """Return a function that plays a case until it starts its load."""
    # The cases start instances as `python3`, with the packages of target/deps.
    environment = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    monkeypatch.setenv("PATH", environment)
    monkeypatch.syspath_prepend(str(ROOT))

    def start(number):
        module = importlib.import_module(f"review.{number}.case")
        clock = types.SimpleNamespace(
            sleep=lambda seconds: None, monotonic=time.monotonic
        )
        monkeypatch.setattr(module, "time", clock)
        if number < FIRST_OF_SECOND_REVIEW:
            _start_first_review(monkeypatch, module)
        else:
            monkeypatch.setattr(module, "Clients", complete)
            module.play(QuietRecord())

    return start


def _start_first_review(monkeypatch, module):
    if hasattr(module, "Load"):
        monkeypatch.setattr(module.Load, "start", complete)
    else:
        # These cases send single requests, at times after a signal.
        monkeypatch.setattr(module.Deployment, "send", complete)
        monkeypatch.setattr(module.Deployment, "signal", complete)
    if hasattr(module, "Heartbeats"):
        monkeypatch.setattr(module.Heartbeats, "start", lambda thread: None)
    module.case(QuietRecord(), True)


@pytest.mark.parametrize("number", CASES)
def test_case_reaches_its_load(start_case, number):
    # Guards against changes of commands, paths and messages that the cases use.
    with pytest.raises(SetUpCompleteError):
        start_case(number)
