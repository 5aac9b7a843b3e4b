"""Files, tests and links that the pages name exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
SOURCES = [
    path.relative_to(ROOT).as_posix()
    for folder in ("sequoiahook", "tests", "bench", "soak", "standins")
    for path in (ROOT / folder).rglob("*.py")
]
FILE = re.compile(r"[\w/]+\.py\b")
TEST = re.compile(r"(test_\w+\.py)::(\w+)")
LINK = re.compile(r"\]\(([^)#\s]+)")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_names_in_pages_exist(page):
    text = page.read_text(encoding="utf-8")
    files = {f"/{name}" for name in FILE.findall(text)}
    missing = [f for f in files if not any(f"/{s}".endswith(f) for s in SOURCES)]
    missing += [
        f"{file}::{test}"
        for file, test in TEST.findall(text)
        if f"def {test}(" not in (ROOT / "tests" / file).read_text(encoding="utf-8")
    ]
    missing += [
        link
        for link in LINK.findall(text)
        if "://" not in link and not (page.parent / link).exists()
    ]
    assert missing == []
