"""Effects of the store's objects on the decisions of an instance."""

from sequoiahook.clock import ManualClock
from sequoiahook.daemons.direct.object_store import (
    Change,
    Changes,
    Listing,
    StoredObject,
)
from sequoiahook.daemons.direct.observers import ConfigurationObserver
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.revisions import Revision
from tests.direct_parts import a_configuration, an_instance
from tests.test_direct_attempts import SETTINGS

UNREADABLE = StoredObject("main", 2, None, "routes: must be a table")


def an_observer():
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    observer = ConfigurationObserver(core, ManualClock(100), lambda _: None)
    stored = StoredObject("main", 1, a_configuration(number=1))
    observer.on_listed(Listing({"main": stored}, Revision(1, 1)), 100)
    return core, observer


def test_an_unreadable_configuration_does_not_confirm_the_one_in_force():
    """It may have withdrawn keys that the one in force still has."""
    core, observer = an_observer()
    observer.on_changed(Changes((Change(UNREADABLE, False),), Revision(1, 2)), 1_000)
    observer.on_changed(Changes((), Revision(1, 3)), 2_000)
    assert core.freshness.age_ms(2_000) == 1_900
    assert core.configuration_number == 1


def test_a_listed_unreadable_configuration_does_not_confirm_the_one_in_force():
    core, observer = an_observer()
    observer.on_listed(Listing({"main": UNREADABLE}, Revision(1, 2)), 1_000)
    assert core.freshness.age_ms(2_000) == 1_900


def test_the_next_readable_configuration_is_confirmed():
    core, observer = an_observer()
    observer.on_changed(Changes((Change(UNREADABLE, False),), Revision(1, 2)), 1_000)
    readable = StoredObject("main", 3, a_configuration(number=3))
    observer.on_changed(Changes((Change(readable, False),), Revision(1, 3)), 2_000)
    assert core.freshness.age_ms(2_000) == 0
    assert core.configuration_number == 3
