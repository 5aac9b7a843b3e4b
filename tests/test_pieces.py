import json

from hypothesis import given, settings, strategies as st

from sequoiahook.decisions.configuration.merge import merge
from sequoiahook.decisions.configuration.pieces import (
    assemble,
    missing_pieces,
    reachable_pieces,
    split,
)

names = st.text(max_size=5)
entries = st.dictionaries(names, st.integers() | st.text(max_size=8), max_size=40)
documents = st.dictionaries(
    names, entries | st.integers() | st.lists(st.booleans()), max_size=4
)


@settings(max_examples=80)
@given(documents, st.sampled_from((20, 100, 10_000)))
def test_pieces_form_the_document(document, leaf_bytes):
    new = split(document, leaf_bytes)
    assert assemble(*new) == document
    assert missing_pieces(*new) == []
    assert reachable_pieces(*new) == set(new.pieces_by_digest)
    again = split(json.loads(json.dumps(document, sort_keys=True)), leaf_bytes)
    assert again == new


@settings(max_examples=30)
@given(st.integers(100, 3000), st.integers(0, 99))
def test_one_change_makes_few_pieces(size, changed_index):
    before = {"targets": {f"target{i}": {"port": i} for i in range(size)}}
    after = {"targets": before["targets"] | {f"target{changed_index}": {"port": 9999}}}
    old = split(before, 1000)
    new = split(after, 1000)
    added = set(new.pieces_by_digest) - set(old.pieces_by_digest)
    assert 1 <= len(added) <= 5
    assert sum(len(new.pieces_by_digest[digest]) for digest in added) < 6000


def test_merge_patch_examples_of_rfc_7396():
    cases = (
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b"}, {"a": None}, {}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        (["a", "b"], ["c", "d"], ["c", "d"]),
        ({"a": "b"}, ["c"], ["c"]),
        ({"a": "foo"}, None, None),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    )
    for document, patch, expected in cases:
        assert merge(document, patch) == expected
