"""LineWriter limits the volume of its lines and never blocks on its reader."""

import os

import pytest

from sequoiahook.clock import ManualClock
from sequoiahook.daemons.line_writer import LineWriter, LineWriterSettings

SETTINGS = LineWriterSettings(lines_per_s=10, burst=5_000, queued_bytes_max=300_000)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 16)
        except BlockingIOError:
            return data
        data += part


def test_stalled_reader_does_not_block_and_gets_complete_lines(pipe):
    reader, descriptor = pipe
    writer = LineWriter(descriptor, ManualClock(), SETTINGS)
    for number in range(5_000):
        writer.write(f"{number} " + "x" * 100)
        writer.flush()
    dropped = writer.reset_dropped_count()
    assert dropped > 0
    received = b""
    while data := read_all(reader):
        received += data
        writer.flush()
    lines = received.decode().splitlines()
    assert len(lines) == 5_000 - dropped
    assert all(line.endswith("x" * 100) for line in lines)
    assert [int(line.split()[0]) for line in lines] == list(range(len(lines)))


def test_lines_over_the_rate_are_dropped_and_counted(pipe):
    _, descriptor = pipe
    clock = ManualClock()
    settings = SETTINGS._replace(burst=3)
    writer = LineWriter(descriptor, clock, settings)
    for _ in range(10):
        writer.write("line")
    assert writer.reset_dropped_count() == 7
    clock.advance(1_000)
    for _ in range(10):
        writer.write("line")
    assert writer.reset_dropped_count() == 7


def test_closed_reader_raises_no_error():
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, ManualClock(), SETTINGS)
    os.close(reader)
    writer.write("line")
    writer.flush()
    assert writer.reset_dropped_count() == 1
    os.close(descriptor)
