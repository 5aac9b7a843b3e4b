"""Peers that read through an instance look elsewhere once it reads through a peer.

Guards against instances that read the store through each other, and learn late that a
target is draining.
"""

import asyncio
import time

import pytest

from sequoiahook.daemons.direct.object_store import Changes, Kind, Listing
from sequoiahook.daemons.direct.relay_answers import LIST_NUMBER, RelayAnswers
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.messages.relay import StoreRead

WAIT_MS = 3_000
AT_ONCE_S = 1.0


class MonotonicClock:
    def now(self):
        return round(time.monotonic() * 1_000)


def answer(how, number, *, is_listed=True):
    """Return the answer to a read, and after how many seconds it came."""

    async def run():
        clock = MonotonicClock()
        answers = RelayAnswers(clock)
        observer = answers.cache_observer(Kind.TARGETS)
        if is_listed:
            observer.on_listed(Listing({}, Revision(1, 5)), clock.now())
        answers.is_relayed = how == "before"
        request = StoreRead(1, Kind.TARGETS.value, 1, number, WAIT_MS)
        started_at = time.monotonic()
        reading = asyncio.create_task(answers.answer(request))
        await asyncio.sleep(0.05)
        if how == "meanwhile":
            answers.is_relayed = True
        elif how == "changed":
            observer.on_changed(Changes((), Revision(1, 6)), clock.now())
            observer.on_listed(Listing({}, Revision(1, 6)), clock.now())
        found = await reading
        return found, time.monotonic() - started_at

    return asyncio.run(run())


@pytest.mark.parametrize("how", ("before", "meanwhile"))
def test_waiting_peer_is_refused_at_once_by_an_instance_that_is_relayed(how):
    found, after_s = answer(how, 5)
    assert found.problem
    assert after_s < AT_ONCE_S


def test_peer_without_a_list_gets_one_from_an_instance_that_is_relayed():
    found, after_s = answer("before", LIST_NUMBER)
    assert not found.problem
    assert after_s < AT_ONCE_S


def test_waiting_peer_gets_a_change_at_once():
    _, after_s = answer("changed", 5)
    assert after_s < AT_ONCE_S


def test_peer_waits_for_the_first_list_of_an_instance_that_is_relayed():
    found, after_s = answer("before", LIST_NUMBER, is_listed=False)
    assert found.problem
    assert after_s > WAIT_MS / 1_000 - 0.1
