"""Names and layouts that leave the process, against data of an earlier build.

Messages travel under the name of their class with their fields in order, so a renamed
class, a reordered field or a renamed stored key would break stored data or a fleet in
which two builds run side by side.
"""

import importlib
import json
import pkgutil
from pathlib import Path

import pytest

from sequoiahook import messages
from sequoiahook.decisions.configuration.patch_objects import read_claim
from sequoiahook.decisions.configuration.root import read_root, root_value
from sequoiahook.messages.base import message_types_by_name
from sequoiahook.wire.codec import decode_envelope, encode_envelope
from sequoiahook.wire.datagrams import decode_datagram, encode_datagram

EARLIER = json.loads(Path(__file__).with_name("outer_names_bytes.json").read_text())
SECRET = b"secret"

for module in pkgutil.iter_modules(messages.__path__):
    importlib.import_module(f"{messages.__name__}.{module.name}")


def test_no_message_is_missing():
    own = {
        name
        for name, cls in message_types_by_name.items()
        if cls.__module__.startswith(messages.__name__)
    }
    assert own == set(EARLIER["envelopes"])


@pytest.mark.parametrize("name", EARLIER["envelopes"])
def test_messages_of_an_earlier_build_are_read_and_written_alike(name):
    data = bytes.fromhex(EARLIER["envelopes"][name])
    envelope = decode_envelope(data)
    assert type(envelope.body).__name__ == name
    assert encode_envelope(envelope) == data


@pytest.mark.parametrize("text", EARLIER["datagrams"])
def test_datagrams_of_an_earlier_build_are_read_and_written_alike(text):
    data = bytes.fromhex(text)
    assert encode_datagram(decode_datagram(data, SECRET), SECRET) == data


def test_stored_configuration_objects_keep_their_keys():
    assert root_value(read_root(EARLIER["root"])) == EARLIER["root"]
    assert read_claim("claim", EARLIER["claim"])._asdict() == EARLIER["claim"]
