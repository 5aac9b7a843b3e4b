"""The settings file that the platform provides for each process."""

import resource
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_limits import MEMORY_MB_DEFAULT, Machine
from sequoiahook.daemons.direct.settings import Bounds, DirectSettings
from sequoiahook.errors import CheckError, Finding
from sequoiahook.options import Section
from sequoiahook.platform.addresses import read_host_port
from sequoiahook.world.instance import Address

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_settings"]

SETTINGS_VARIABLE = "SEQUOIAHOOK_BOOT"
METRICS_PORT = 9464
"""The metrics port that deploy/system.toml names; the settings file sets none."""

LINK_MBPS_MAX = 1_000_000
MEMORY_MB_MAX = 1_000_000
DESCRIPTORS_MAX = 1 << 20


class PlatformSettings(NamedTuple):
    """Contents of a settings file.

    Attributes:
        direct: Settings of the instance.
        store_address: Address of the platform's store.
        store_object_bytes_max: Largest size of an object in the store, in bytes.
    """

    direct: DirectSettings
    store_address: Address
    store_object_bytes_max: int


def read_settings(path: str) -> PlatformSettings:
    """Read and check a settings file.

    Raises:
        CheckError: If the file is unreadable or invalid; with all findings.
    """
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise CheckError([Finding(path, str(error))]) from error
    root = Section(document)
    settings = _read(root)
    root.raise_for_findings()
    return settings


def _read(root: Section) -> PlatformSettings:
    listen = root.section("listen")
    store = root.section("platform")
    limits = root.section("limits", optional=True)
    # "zones" maps a data centre to its region.
    region_by_data_centre = _string_table(root, "zones")
    host = root.string("ip")
    # The first and the last port reserved for traffic between instances.
    ports = _port_range(root, "internal_ports")
    direct = DirectSettings(
        name=root.string("node_name"),
        data_centre=root.string("zone"),
        region=root.string("region"),
        region_by_data_centre=region_by_data_centre,
        # "front" is the address for callers' requests.
        caller_address=read_host_port(listen, "front"),
        readiness_address=read_host_port(listen, "readiness_address"),
        # "directory" is the address for callers' look-ups of instances.
        lookup_address=read_host_port(listen, "directory"),
        report_address=Address(host, ports[0]),
        handover_address=Address(host, ports[0] + 1) if ports[1] > ports[0] else None,
        metrics_address=Address(host, METRICS_PORT),
        bounds=_read_bounds(root),
        link_mbps=int(limits.number("link_mbps", low=0, high=LINK_MBPS_MAX, default=0)),
        is_first_start=root.boolean("bootstrap", default=False),
        machine=_read_machine(limits),
    )
    return PlatformSettings(
        direct,
        read_host_port(store, "address"),
        store.integer("value_bytes", low=1, high=1 << 30, default=1 << 20),
    )


def _read_machine(limits: Section) -> Machine:
    """Return what the file states, and not more descriptors than the process may open.

    A value of 0 counts as not stated.
    """
    memory_mb = limits.number("memory_mb", low=0, high=MEMORY_MB_MAX, default=0)
    stated = limits.number("max_fds", low=0, high=DESCRIPTORS_MAX, default=0)
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = DESCRIPTORS_MAX
    return Machine(
        int(memory_mb) or MEMORY_MB_DEFAULT, min(int(stated) or allowed, allowed)
    )


def _read_bounds(root: Section) -> Bounds:
    text_by_name = {}
    for text in root.strings("bounds", default=()):
        name, separator, value = text.partition("=")
        if not separator:
            root.report("bounds", f"{text!r} is not of the form name=value")
        text_by_name[name] = value
    bounds = Bounds()
    return bounds._replace(
        withdrawal_ms=_integer_bound(
            root, text_by_name, "revoke_ms", bounds.withdrawal_ms
        ),
        # Seconds between the signal to stop and the kill.
        stop_ms=_integer_bound(root, text_by_name, "grace_s", bounds.stop_ms, MS_PER_S),
        # Longest lifetime of a look-up answer that callers accept, in seconds.
        lookup_lifetime_ms=_integer_bound(
            root, text_by_name, "ttl_max_s", bounds.lookup_lifetime_ms, MS_PER_S
        ),
        retry_ratio=_float_bound(
            root, text_by_name, "retry_budget_ratio", bounds.retry_ratio
        ),
        # Retries that are always allowed in each window, over all instances.
        retry_slack=_integer_bound(
            root, text_by_name, "budget_slack", bounds.retry_slack
        ),
        # Largest fraction of a region's requests that may change region in 2 s.
        shift_share=_float_bound(root, text_by_name, "max_shift", bounds.shift_share),
    )


def _integer_bound(
    root: Section, text_by_name: dict, name: str, default: int, factor: int = 1
) -> int:
    return int(_float_bound(root, text_by_name, name, default / factor) * factor)


def _float_bound(root: Section, text_by_name: dict, name: str, default: float) -> float:
    text = text_by_name.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        root.report("bounds", f"{name} must be a number, not {text!r}")
        return default


def _string_table(root: Section, key: str) -> dict[str, str]:
    value: Any = root.raw(key)
    if not isinstance(value, dict) or not all(
        isinstance(item, str) for item in value.values()
    ):
        root.report(key, "must be a table of strings")
        return {}
    return dict(value)


def _port_range(root: Section, key: str) -> tuple[int, ...]:
    value: Any = root.raw(key)
    is_list = isinstance(value, list) and len(value) == 2
    if not is_list or not all(type(port) is int for port in value):
        root.report(key, "must be a list of the first and the last port")
        return (0, 0)
    return tuple(value)
