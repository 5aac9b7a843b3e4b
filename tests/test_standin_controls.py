"""Control calls that the stand-ins do not know."""

import os
import subprocess
import sys

import pytest

from standins.platform_fleet import PlatformFleet
from standins.processes import ROOT

TARGET = "i-1"


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        fleet.start_target_process(TARGET)
        yield fleet


@pytest.mark.parametrize(
    "control",
    [{"faults": {"laod": "1,0,4"}}, {"falts": {}}, {"faults": 3}, {"faults": []}],
)
def test_control_call_that_is_not_known_is_named(fleet, control):
    # It used to close the connection of the target without an answer.
    with pytest.raises(RuntimeError, match=r"control call: .*(names|object)"):
        fleet.control_target(TARGET, **control)
    with pytest.raises(RuntimeError, match=r"control call: .*(names|object)"):
        fleet.control_store(**control)
    assert fleet.control_target(TARGET)["runs"] == []
    assert fleet.control_store()["revision"] == 1


@pytest.mark.parametrize("slots", [-1, "4", None])
def test_target_refuses_slots_that_are_no_number(fleet, slots):
    with pytest.raises(RuntimeError, match="slots"):
        fleet.control_target(TARGET, faults={"slots": slots})


def test_processes_use_the_modules_of_their_caller(tmp_path):
    # Guards against stand-ins of another checkout in the working directory.
    other = tmp_path / "standins"
    other.mkdir()
    (other / "__init__.py").write_text("")
    (other / "platform_store.py").write_text("raise SystemExit('another checkout')")
    script = (
        "from standins.platform_fleet import PlatformFleet\n"
        "with PlatformFleet() as fleet:\n"
        "    print(fleet.control_store()['revision'])\n"
    )
    (tmp_path / "run.py").write_text(script)
    result = subprocess.run(
        # With -P, the caller itself does not search the directory of its script.
        [sys.executable, "-P", "run.py"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (result.returncode, result.stdout) == (0, "1\n"), result.stderr
