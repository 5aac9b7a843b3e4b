"""The fleet of stand-ins ends all processes that it has started."""

from standins.platform_fleet import PlatformFleet


def test_process_whose_name_another_has_taken_is_ended():
    """Replaced targets ran on after the tests, three for each of 35 fleets."""
    with PlatformFleet() as fleet:
        fleet.start_target("i-1")
        replaced = fleet.processes_by_name["i-1"]
        fleet.start_target("i-1")
        assert replaced.poll() is None
    assert replaced.poll() is not None
