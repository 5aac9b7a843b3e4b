from pathlib import Path

from hypothesis import Phase, settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "

# A failing run in CI prints the example as it was found; `make fuzz` shrinks it.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    phases=(Phase.explicit, Phase.generate),
)
settings.register_profile("fuzz", derandomize=False, deadline=None, database=None)
settings.load_profile("ci")


def known_red():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(TEST_PREFIX) for line in lines if line[:6] == TEST_PREFIX}


def pytest_addoption(parser):
    parser.addoption("--with-known-red", action="store_true")


def pytest_collection_modifyitems(config, items):
    """Leave out exactly the tests that KNOWN-RED.txt lists, and print them."""
    if config.getoption("--with-known-red"):
        return
    red = known_red()
    left_out = [item for item in items if item.nodeid in red]
    config.hook.pytest_deselected(items=left_out)
    items[:] = [item for item in items if item.nodeid not in red]


def pytest_report_header():
    return [f"known red, left out: {test}" for test in sorted(known_red())]
