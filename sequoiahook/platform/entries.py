"""Entries of targets and instances in the platform's store."""

from collections.abc import Mapping
from typing import Any

from sequoiahook.options import Section
from sequoiahook.platform.addresses import read_host_port
from sequoiahook.world.instance import LiveInstance
from sequoiahook.world.target import LiveTarget

__all__ = ["instance_document", "read_instance_entry", "read_target_entry"]

SLOTS_MAX = 100_000
COLD_MS_MAX = 1 << 40
INCARNATION_MAX = 1 << 63
LINK_MBPS_MAX = 1_000_000
PROTOCOL_MAX = 1_000_000
READY = "ready"
STATES = (READY, "draining")


def read_target_entry(
    target_id: str, document: Any, region_by_data_centre: Mapping[str, str]
) -> LiveTarget:
    """Decode the entry of a target.

    Args:
        target_id: Name of the entry.
        document: The object, with its ``spec`` and its ``status``.
        region_by_data_centre: Region of every data centre.

    Raises:
        CheckError: If the entry is invalid; with all findings.
    """
    root = Section(document, f"servers/{target_id}")
    spec = root.section("spec")
    # "info" holds the constant fields, "status" those that change.
    info = spec.section("info")
    status = _status(root, spec)
    data_centre = info.string("zone")
    if data_centre not in region_by_data_centre:
        info.report("zone", "is not a known data centre")
    address = read_host_port(spec, "address")
    record = LiveTarget(
        id=target_id,
        # "born" is the Unix time of the start; it distinguishes runs of a target.
        started_at=spec.integer("born", low=0, high=INCARNATION_MAX, default=0),
        service=info.string("service"),
        data_centre=data_centre,
        region=region_by_data_centre.get(data_centre, ""),
        address=address,
        slots=info.integer("slots", low=1, high=SLOTS_MAX),
        is_draining=status.choice("state", STATES) != READY,
        cold_ms=status.integer("cold_remaining_ms", low=0, high=COLD_MS_MAX, default=0),
    )
    root.raise_for_findings()
    return record


def _status(root: Section, spec: Section) -> Section:
    """Return the "status" section, which may be inside "spec" or beside it."""
    if spec.has("status"):
        return spec.section("status")
    return root.section("status")


def instance_document(instance: LiveInstance) -> dict[str, Any]:
    """Encode the entry of an instance."""
    document = {
        "incarnation": instance.incarnation,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "caller_address": str(instance.caller_address),
        "report_address": str(instance.report_address),
        "link_mbps": instance.link_mbps,
        "protocol": instance.protocol,
    }
    if instance.handover_address is not None:
        document["handover_address"] = str(instance.handover_address)
    if instance.is_doubted:
        document["doubted"] = True
    return document


def read_instance_entry(name: str, document: Any) -> LiveInstance:
    """Decode the entry of an instance.

    Raises:
        CheckError: If the entry is invalid; with all findings.
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
        spec.integer("link_mbps", low=0, high=LINK_MBPS_MAX, default=0),
        read_host_port(spec, "handover_address")
        if spec.has("handover_address")
        else None,
        spec.integer("protocol", low=1, high=PROTOCOL_MAX, default=1),
        spec.boolean("doubted", default=False),
    )
    root.raise_for_findings()
    return entry
