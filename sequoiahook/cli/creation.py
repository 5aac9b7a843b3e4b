"""Commands that create and change entries of the configuration."""

from sequoiahook import changes
from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.cli.output import Result
from sequoiahook.cli.patches import apply
from sequoiahook.world.contract import Contract
from sequoiahook.world.shift import Shift

__all__ = [
    "create_organisation",
    "create_service",
    "create_target",
    "drain_target",
    "grant_key",
    "plan_shift",
    "withdraw_key",
]


def create_service(
    name: str,
    path_prefix: str,
    *,
    open_to_all: bool = False,
    deadline_ms: int = 5000,
    against: int = 0,
    operator: str = "operator.json",
) -> Result:
    """Create a service.

    Args:
        name: Name of the service.
        path_prefix: Prefix of the paths that belong to the service.
        open_to_all: Whether requests need no key.
        deadline_ms: Longest time for one request, in milliseconds.
        against: Number of the configuration to change; 0 for the current one.
        operator: JSON file with the operator's settings.
    """
    patch = changes.create_service(
        name, path_prefix, is_open=open_to_all, deadline_ms=deadline_ms
    )
    return apply(patch, operator, against)


def create_target(
    name: str,
    service: str,
    data_centre: str,
    host: str,
    port: int,
    slots: int,
    *,
    against: int = 0,
    operator: str = "operator.json",
) -> Result:
    """Create a target of a service.

    Args:
        name: Name of the target.
        service: Name of its service.
        data_centre: Name of its data centre.
        host: IP address.
        port: TCP port.
        slots: Number of requests that it runs concurrently.
        against: Number of the configuration to change; 0 for the current one.
        operator: JSON file with the operator's settings.
    """
    patch = changes.create_target(name, service, data_centre, host, port, slots)
    return apply(patch, operator, against)


def drain_target(
    name: str, *, against: int = 0, operator: str = "operator.json"
) -> Result:
    """Drain a target, so that it gets no new requests.

    Args:
        name: Name of the target.
        against: Number of the configuration to change; 0 for the current one.
        operator: JSON file with the operator's settings.
    """
    return apply(changes.drain_target(name), operator, against)


def create_organisation(
    name: str,
    rate_per_s: int,
    burst: int,
    *,
    services: list[str] | None = None,
    against: int = 0,
    operator: str = "operator.json",
) -> Result:
    """Create an organisation, or change its rate and burst.

    Args:
        name: Name of the organisation.
        rate_per_s: Requests a second, over all instances.
        burst: Requests at once, over all instances.
        services: Services that it may use; all if none is given.
        against: Number of the configuration to change; 0 for the current one.
        operator: JSON file with the operator's settings.
    """
    contract = Contract(rate_per_s, burst)
    patch = changes.create_organisation(name, contract, tuple(services or ()))
    return apply(patch, operator, against)


def grant_key(
    organisation: str,
    key_name: str,
    *,
    against: int = 0,
    operator: str = "operator.json",
) -> Result:
    """Grant a new key, which is shown once; only its digest is stored.

    Args:
        organisation: Name of the organisation.
        key_name: Name of the key.
        against: Number of the configuration to change; 0 for the current one.
        operator: JSON file with the operator's settings.
    """
    new_key = changes.grant_key(organisation, key_name)
    result = apply(new_key.patch, operator, against)
    if result.code not in (ExitCode.OK, ExitCode.OUTCOME_UNKNOWN):
        return result
    document = {**result.document, "key": new_key.key}
    return Result(result.code, document, f"{result.text}\nkey: {new_key.key}")


def withdraw_key(
    organisation: str,
    key_name: str,
    *,
    against: int = 0,
    operator: str = "operator.json",
) -> Result:
    """Withdraw a key, including for connected callers.

    Args:
        organisation: Name of the organisation.
        key_name: Name of the key.
        against: Number of the configuration to change; 0 for the current one.
        operator: JSON file with the operator's settings.
    """
    return apply(changes.withdraw_key(organisation, key_name), operator, against)


def plan_shift(
    name: str,
    service: str,
    source: str,
    destination: str,
    share_percent: int,
    cap_per_s: int,
    cap_burst: int,
    *,
    against: int = 0,
    operator: str = "operator.json",
) -> Result:
    """Plan a shift of traffic between data centres, limited by a cap.

    Args:
        name: Name of the shift.
        service: Service whose traffic is shifted.
        source: Data centre that the traffic is shifted from.
        destination: Data centre that the traffic is shifted to.
        share_percent: Share of the source's traffic to shift, in percent.
        cap_per_s: Largest number of shifted requests a second, over all instances.
        cap_burst: Largest number of shifted requests at once, over all instances.
        against: Number of the configuration to change; 0 for the current one.
        operator: JSON file with the operator's settings.
    """
    cap = Contract(cap_per_s, cap_burst)
    shift = Shift(name, service, source, destination, share_percent, cap)
    return apply(changes.plan_shift(shift), operator, against)
