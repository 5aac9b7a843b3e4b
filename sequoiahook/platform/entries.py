"""Entries that targets and instances keep in the platform's store."""

from collections.abc import Mapping
from typing import Any

from sequoiahook.options import Section
from sequoiahook.platform.addresses import read_host_port
from sequoiahook.world.instance import LiveInstance
from sequoiahook.world.target import LiveTarget

__all__ = ["instance_document", "read_instance_entry", "read_target_entry"]

SLOTS_MAX = 100_000
MS_MAX = 1 << 40
INCARNATION_MAX = 1 << 63
MBPS_MAX = 1_000_000
READY = "ready"
STATES = (READY, "draining")


def read_target_entry(
    target_id: str, document: Any, region_by_data_centre: Mapping[str, str]
) -> LiveTarget:
    """Read what a target wrote of itself.

    Args:
        target_id: Name of the entry.
        document: The whole object.
        region_by_data_centre: Every data centre with its region.

    Raises:
        CheckError: If it names no target that could be used.
    """
    root = Section(document, f"servers/{target_id}")
    spec = root.section("spec")
    # What stays the same stands under "info", what changes under "status".
    info = spec.section("info")
    status = _status(root, spec)
    data_centre = info.string("zone")
    if data_centre not in region_by_data_centre:
        info.report("zone", "is not a known data centre")
    address = read_host_port(spec, "address")
    record = LiveTarget(
        id=target_id,
        # The Unix time of the start; runs are told apart by it.
        started_at=spec.integer("born", low=0, high=INCARNATION_MAX, default=0),
        service=info.string("service"),
        data_centre=data_centre,
        region=region_by_data_centre.get(data_centre, ""),
        address=address,
        slots=info.integer("slots", low=1, high=SLOTS_MAX),
        is_draining=status.choice("state", STATES) != READY,
        cold_ms=status.integer("cold_remaining_ms", low=0, high=MS_MAX, default=0),
    )
    root.raise_for_findings()
    return record


def _status(root: Section, spec: Section) -> Section:
    """Return the section with the target's state, wherever it was written."""
    if spec.has("status"):
        return spec.section("status")
    return root.section("status")


def instance_document(instance: LiveInstance) -> dict[str, Any]:
    """Return an instance's entry."""
    return {
        "incarnation": instance.incarnation,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "caller_address": str(instance.caller_address),
        "report_address": str(instance.report_address),
        "link_mbps": instance.link_mbps,
    }


def read_instance_entry(name: str, document: Any) -> LiveInstance:
    """Read an instance's entry.

    Raises:
        CheckError: If it cannot be used.
    """
    root = Section(document, f"instances/{name}")
    spec = root.section("spec")
    entry = LiveInstance(
        name,
        spec.integer("incarnation", low=0, high=INCARNATION_MAX),
        spec.string("data_centre"),
        spec.string("region"),
        read_host_port(spec, "caller_address"),
        read_host_port(spec, "report_address"),
        spec.integer("link_mbps", low=0, high=MBPS_MAX, default=0),
    )
    root.raise_for_findings()
    return entry
