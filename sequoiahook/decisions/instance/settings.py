"""Settings of all components of one instance."""

from typing import NamedTuple

from sequoiahook.decisions.configuration.patch_writer import PatchSettings
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.exchange.entry import EntrySettings
from sequoiahook.decisions.exchange.executor import ExecutorSettings
from sequoiahook.decisions.links import LinkSettings
from sequoiahook.decisions.lookup.settings import LookupSettings
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.decisions.stopping import StoppingSettings

__all__ = ["CoreSettings", "SteeringSettings"]


LOCAL_LEASE_MS = 2_500
"""Covers most of a usual deadline, so that a queued request keeps its right."""

REMOTE_LEASE_MS = 3_000


class SteeringSettings(NamedTuple):
    """Settings of the admission of callers' requests.

    Attributes:
        reserve_wait_ms: Longest wait for a right, in milliseconds.
        credit_wait_ms: Longest wait for credit when no data centre can run the request
            without it, in milliseconds.
        retry_after_ms: Default retry-after time, in milliseconds.
    """

    reserve_wait_ms: int = 250
    credit_wait_ms: int = 400
    retry_after_ms: int = 1_000


class CoreSettings(NamedTuple):
    """Settings of each component."""

    membership: MembershipSettings = MembershipSettings()
    rollout: RolloutSettings = RolloutSettings()
    patching: PatchSettings = PatchSettings()
    rights: RightsSettings = RightsSettings(
        local_lease_ms=LOCAL_LEASE_MS, remote_lease_ms=REMOTE_LEASE_MS
    )
    entry: EntrySettings = EntrySettings()
    executor: ExecutorSettings = ExecutorSettings()
    pool: PoolSettings = PoolSettings()
    placement: PlacementSettings = PlacementSettings()
    links: LinkSettings = LinkSettings()
    lookup: LookupSettings = LookupSettings()
    stopping: StoppingSettings = StoppingSettings()
    steering: SteeringSettings = SteeringSettings()
