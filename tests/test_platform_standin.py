import asyncio
import json
import random

import pytest

from sequoiahook.clock import MonotonicClock
from sequoiahook.daemons.http_client import HttpClient, HttpClientSettings
from sequoiahook.daemons.platform_calls import execute
from sequoiahook.daemons.platform_client import PlatformClient, PlatformClientSettings
from sequoiahook.decisions.configuration import (
    ConfigurationReplica,
    Patch,
    PatchSettings,
    PatchWriter,
    RolloutSettings,
)
from sequoiahook.errors import (
    CheckError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from standins.platform import PlatformStandIn

TOKEN = "stand-in"


class PlatformFixture:
    """A platform stand-in and a client on loopback sockets."""

    async def __aenter__(self):
        self.server = await PlatformStandIn(TOKEN).start()
        self.port = self.server.sockets[0].getsockname()[1]
        self.client = self.new_client("one")
        self._control = HttpClient(HttpClientSettings("127.0.0.1", self.port))
        return self

    async def __aexit__(self, *exc):
        self.client.close()
        self._control.close()
        self.server.close()

    def new_client(self, instance, token=TOKEN, timeout_ms=300):
        settings = PlatformClientSettings(
            "127.0.0.1", self.port, instance, token, timeout_ms
        )
        return PlatformClient(settings)

    async def send(self, method, path, value=None):
        body = b"" if value is None else json.dumps(value).encode()
        headers = {"authorization": f"Bearer {TOKEN}"}
        response = await self._control.request(
            method, path, headers, body, timeout_ms=1000
        )
        return json.loads(response.body)

    async def control(self, **order):
        await self.send("POST", "/control", order)

    async def calls(self):
        return await self.send("GET", "/calls")


def run(case):
    async def main():
        async with PlatformFixture() as fixture:
            async with asyncio.timeout(10):
                await case(fixture)

    asyncio.run(main())


def test_versions_and_conditions():
    async def case(fixture):
        client = fixture.client
        assert await client.get("a") is None
        assert await client.put("a", {"x": 1}, 0) == 1
        with pytest.raises(VersionConflictError) as caught:
            await client.put("a", {}, 0)
        assert caught.value.current == 1
        assert await client.put("a", [2], 1) == 2
        assert await client.get("a") == (2, [2])
        with pytest.raises(CheckError) as too_large:
            await client.put("big", "x" * 1_000_000, 0)
        assert too_large.value.findings[0].place == "big"
        calls = await fixture.calls()
        assert (calls["read"], calls["write"], calls["watch"]) == (2, 4, 0)
        assert calls["by_instance"] == {"one": 6}

    run(case)


def test_call_with_lost_answer_takes_effect():
    async def case(fixture):
        await fixture.control(lose_answers=1)
        with pytest.raises(PlatformOutcomeUnknownError):
            await fixture.client.put("a", 1, 0)
        assert await fixture.client.get("a") == (1, 1)
        assert await fixture.client.put("a", 2, 1) == 2

    run(case)


def test_outage_has_no_effect():
    async def case(fixture):
        client = fixture.client
        await fixture.control(outage=True)
        for call in (client.put("a", 1, 0), client.get("a"), client.watch("a", 0, 10)):
            with pytest.raises(PlatformUnavailableError):
                await call
        await fixture.control(outage=False)
        assert await client.get("a") is None

    run(case)


def test_unanswered_and_slow_writes_may_take_effect():
    async def case(fixture):
        await fixture.control(outage="silent")
        with pytest.raises(PlatformOutcomeUnknownError):
            await fixture.client.put("a", 1, 0)
        with pytest.raises(PlatformUnavailableError):
            await fixture.client.get("a")
        await fixture.control(outage=False, slow_ms=500)
        with pytest.raises(PlatformOutcomeUnknownError):
            await fixture.client.put("b", 1, 0)
        await fixture.control(slow_ms=0)
        assert await fixture.client.watch("b", 0, 1000) == (1, 1)

    run(case)


def test_closed_port_is_unavailable():
    async def case(fixture):
        fixture.server.close()
        await fixture.server.wait_closed()
        with pytest.raises(PlatformUnavailableError):
            await fixture.new_client("two").put("a", 1, 0)

    run(case)


def test_watch_answers_on_change_and_ends():
    async def case(fixture):
        client = fixture.client
        await client.put("a", 1, 0)
        assert await client.watch("a", 0, 1000) == (1, 1)
        assert await client.watch("a", 1, 1) is None
        watch = asyncio.create_task(client.watch("a", 1, 5000))
        while (await fixture.calls())["watch"] < 3:
            await asyncio.sleep(0)
        await client.put("a", 2, 1)
        assert await watch == (2, 2)
        watch = asyncio.create_task(client.watch("a", 2, 5000))
        while (await fixture.calls())["watch"] < 4:
            await asyncio.sleep(0)
        await fixture.control(end_watches=True)
        with pytest.raises(PlatformUnavailableError):
            await watch

    run(case)


def test_cut_instance_and_stale_read():
    async def case(fixture):
        other = fixture.new_client("two")
        await fixture.client.put("a", 1, 0)
        await fixture.client.put("a", 2, 1)
        await fixture.control(cut=["two"], stale_reads=1)
        with pytest.raises(PlatformUnavailableError):
            await other.get("a")
        assert await fixture.client.get("a") is None
        assert await fixture.client.get("a") == (2, 2)
        other.close()

    run(case)


def test_wrong_token_is_refused():
    async def case(fixture):
        unauthorised_client = fixture.new_client("one", token="wrong")
        with pytest.raises(PlatformUnavailableError):
            await unauthorised_client.put("a", 1, 0)
        assert await fixture.client.get("a") is None
        unauthorised_client.close()

    run(case)


async def write_patch(client, patch):
    """Drive a patch writer with real calls and the real clock."""
    writer = PatchWriter(PatchSettings(), patch, {}, random.Random(1))
    clock = MonotonicClock()
    pending = writer.start(clock.now())
    while writer.outcome is None:
        answers = await asyncio.gather(*(execute(client, call) for call in pending))
        now = clock.now()
        pending = [
            call for answer in answers for call in writer.receive_answer(answer, now)
        ]
        pending += writer.tick(now)
        await asyncio.sleep(0)
    return writer.outcome


def test_patches_over_sockets_with_lost_answers():
    region = {"regions_by_name": {"r": {"data_centres": ["d"]}}}

    async def case(fixture):
        client = fixture.client
        await fixture.control(lose_answers=3)
        assert (
            repr(await write_patch(client, Patch("p", 0, region)))
            == "Accepted(number=1)"
        )
        assert (
            repr(await write_patch(client, Patch("p", 0, region)))
            == "Accepted(number=1)"
        )
        assert (
            repr(await write_patch(client, Patch("q", 0, region))) == "Stale(current=1)"
        )
        await fixture.control(stale_reads=2)
        racing = [write_patch(client, Patch(name, 1, region)) for name in "xyz"]
        outcomes = await asyncio.gather(*racing)
        expected = ["Accepted(number=2)", "Stale(current=2)", "Stale(current=2)"]
        assert sorted(map(repr, outcomes)) == expected
        root = await client.get("configuration")
        assert root.value["number"] == 2

    run(case)


def test_replica_receives_a_configuration_by_a_watch_over_sockets():
    region = {"regions_by_name": {"r": {"data_centres": ["d"]}}}

    async def case(fixture):
        replica = ConfigurationReplica(RolloutSettings(), "one", "d", random.Random(1))
        clock = MonotonicClock()
        effects = replica.configure_view({"d": ["one"]}, clock.now())
        tasks = set()
        await write_patch(fixture.new_client("two"), Patch("p", 0, region))
        while replica.number < 1:
            tasks |= {asyncio.create_task(execute(fixture.client, e)) for e in effects}
            wait_s = (replica.next_wake(clock.now()) - clock.now()) / 1000
            done, tasks = await asyncio.wait(
                tasks, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            effects = replica.tick(clock.now())
            for task in done:
                effects += replica.receive_answer(task.result(), clock.now())
        assert replica.document == region
        for task in tasks:
            task.cancel()

    run(case)


def test_instance_list_lag_delays_changes():
    async def case(fixture):
        address = {"host": "127.0.0.1", "port": 1}
        entry = {"name": "i1", "data_centre": "d", "state": "live"}
        entry |= {"caller_address": address, "link_address": address}
        await fixture.send("POST", "/instances", entry)
        await fixture.control(list_lag_ms=200)
        first = await fixture.client.instances(after=0, wait_ms=2000)
        assert [item.name for item in first.instances] == ["i1"]
        change = {"name": "i1", "state": "leaving"}
        await fixture.send("POST", "/instances", change)
        lagging = await fixture.client.instances()
        assert lagging.instances[0].state == "live"
        later = await fixture.client.instances(after=lagging.version, wait_ms=2000)
        assert later.instances[0].state == "leaving"

    run(case)
