"""The stand-in for an instance whose connections to targets are cut."""

import asyncio
import contextlib

import pytest

from sequoiahook.platform.settings import SETTINGS_VARIABLE
from sequoiahook.world.instance import Address
from standins.cut_instance import CUT_FILE_SUFFIX, TARGET_HOST, CutLoop
from standins.platform_documents import settings_text

PASSES_MAX = 6
ANSWER_TIMEOUT_S = 0.2
CLOSED_TIMEOUT_S = 2


@pytest.fixture
def settings_path(tmp_path, monkeypatch):
    path = tmp_path / "n1.toml"
    store = Address(TARGET_HOST, 1)
    text = settings_text("n1", "north-a", TARGET_HOST, store, is_first_start=False)
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return path


async def echo(reader, writer):
    with contextlib.suppress(OSError):
        writer.write(await reader.read(1))
        await writer.drain()
        await reader.read()
    writer.close()


async def answer(port, begun):
    """Open a connection to a target and return its answer; empty if it was reset."""
    begun.set()
    try:
        reader, writer = await asyncio.open_connection(TARGET_HOST, port)
    except ConnectionRefusedError:
        return b""
    try:
        writer.write(b"?")
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.read(1)
    except ConnectionResetError:
        return b""
    finally:
        writer.transport.abort()


async def answer_of_connection_during_cut(settings_path, how, passes):
    """Return the answer on a connection that is being opened as the cut begins.

    Args:
        settings_path: Path of the settings of the instance.
        how: How connections are cut.
        passes: Number of passes of the event loop between the begin of the connection
            and that of the cut.
    """
    loop = asyncio.get_running_loop()
    begun = asyncio.Event()
    async with await asyncio.start_server(echo, TARGET_HOST) as server:
        port = server.sockets[0].getsockname()[1]
        answering = asyncio.create_task(answer(port, begun))
        await begun.wait()
        for _ in range(passes):
            await asyncio.sleep(0)
        settings_path.with_name(settings_path.name + CUT_FILE_SUFFIX).write_text(how)
        loop._check_cut()
        async with asyncio.timeout(CLOSED_TIMEOUT_S):
            return await answering


@pytest.mark.parametrize("passes", range(PASSES_MAX))
@pytest.mark.parametrize("how", ["hang", "reset", "refuse"])
def test_connection_that_is_being_opened_as_the_cut_begins(settings_path, how, passes):
    with asyncio.Runner(loop_factory=CutLoop) as runner:
        run = answer_of_connection_during_cut(settings_path, how, passes)
        try:
            assert runner.run(run) == b""
        except TimeoutError:
            assert how in ("hang", "refuse")
