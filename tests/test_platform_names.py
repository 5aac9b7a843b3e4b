"""The platform's names do not occur outside the adapter package."""

import re
from pathlib import Path

import pytest

import sequoiahook

PACKAGE = Path(sequoiahook.__file__).parent
ADAPTER = PACKAGE / "platform"
WORDS = (
    "affinity",
    "allowed_regions",
    "api_keys",
    "cold_remaining",
    "cold_start_s",
    "deadline-ms",
    "edge",
    "expect-instance",
    "has_more",
    "internal_ports",
    "max_attempts",
    "max_connections",
    "not-executed",
    "server-leaving",
    "server-load",
    "server-stamp",
    "sticky_sessions",
    "target_latency",
    "tenant",
    "traffic_split",
    "ttl_s",
    "upstream",
    "zone",
)
PATTERN = re.compile(
    "|".join(rf"(?<![a-z-]){re.escape(word)}s?(?![a-z])" for word in WORDS),
    re.IGNORECASE,
)


def sources():
    return [
        path
        for path in PACKAGE.rglob("*.py")
        if ADAPTER not in path.parents and path != ADAPTER
    ]


@pytest.mark.parametrize("path", sources(), ids=lambda path: path.stem)
def test_no_name_of_the_platform_outside_the_adapter(path):
    lines = path.read_text(encoding="utf-8").splitlines()
    found = [line for line in lines if PATTERN.search(line)]
    assert found == []


def test_the_search_matches_whole_names_only():
    adapter = "".join(path.read_text() for path in ADAPTER.glob("*.py"))
    assert PATTERN.search(adapter)
    assert PATTERN.search("value = section['zone']")
    assert not PATTERN.search("knowledge of the ozone")


def test_only_the_adapter_imports_the_adapter():
    for path in sources():
        assert "sequoiahook.platform" not in path.read_text(encoding="utf-8"), path
