"""Derives the settings of the decision parts from the settings of an instance."""

from sequoiahook.daemons.settings import InstanceSettings
from sequoiahook.decisions.instance import CoreSettings
from sequoiahook.decisions.lookup.settings import LookupSettings
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.stopping import StoppingSettings
from sequoiahook.world.instance import Address, Instance

__all__ = ["core_settings"]

UNKNOWN_ADDRESS = Address("0.0.0.0", 0)
JITTER_DIVISOR = 5
"""Look-up lifetimes vary downwards by up to one fifth of the longest lifetime."""


def core_settings(settings: InstanceSettings) -> CoreSettings:
    """Return the settings of all decision parts."""
    lifetime_ms = settings.lookup_lifetime_ms
    seeds = tuple(
        Instance(seed.name, 0, seed.data_centre, UNKNOWN_ADDRESS, seed.link_address)
        for seed in settings.seeds
    )
    return CoreSettings(
        membership=MembershipSettings(seeds=seeds),
        lookup=LookupSettings(
            lifetime_ms=lifetime_ms,
            lifetime_jitter_ms=lifetime_ms // JITTER_DIVISOR,
            data_centres=(settings.data_centre,),
        ),
        stopping=StoppingSettings(lookup_lifetime_ms=lifetime_ms),
    )
