"""Settings of one instance, read from a JSON document."""

from typing import Any, NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.instance import Address, read_address

__all__ = ["InstanceSettings", "PlatformAccess", "Seed", "read_instance_settings"]

SECRET_LENGTH_MAX = 512
SECRET_LENGTH_MIN = 16
DIGEST_LENGTH = 64
MIB = 1024 * 1024
BODY_BYTES_DEFAULT = 4 * MIB
BODY_BYTES_MAX = 6 * MIB
LOOKUP_LIFETIME_MS_DEFAULT = 2_000
LOOKUP_LIFETIME_MS_MAX = 600_000


class PlatformAccess(NamedTuple):
    """Access to the platform's object API.

    Attributes:
        address: IP address and port.
        token: Bearer token of this instance.
    """

    address: Address
    token: str


class Seed(NamedTuple):
    """An instance to contact at start-up.

    Attributes:
        name: Name of the instance.
        data_centre: Name of its data centre.
        link_address: Address on which it accepts links.
    """

    name: str
    data_centre: str
    link_address: Address


class InstanceSettings(NamedTuple):
    """Start-up settings of one instance.

    Attributes:
        name: Unique name of the instance.
        data_centre: Name of its data centre.
        caller_address: Address for callers.
        link_address: Address for links from other instances.
        operator_address: Address for operators.
        platform: Access to the platform's object API.
        fleet_secret: Secret shared by all instances, which authenticates links.
        operator_token_digest: SHA-256 digest of the operators' token, hexadecimal.
        seeds: Instances to contact at start-up.
        body_bytes_max: Largest request or response body, in bytes.
        lookup_lifetime_ms: Longest time that callers may use a look-up answer, in
            milliseconds.
    """

    name: str
    data_centre: str
    caller_address: Address
    link_address: Address
    operator_address: Address
    platform: PlatformAccess
    fleet_secret: str
    operator_token_digest: str
    seeds: tuple[Seed, ...]
    body_bytes_max: int
    lookup_lifetime_ms: int


def read_instance_settings(document: Any) -> InstanceSettings:
    """Read and check the settings of an instance.

    Raises:
        CheckError: With all findings.
    """
    root = Section(document)
    settings = InstanceSettings(
        root.string("name"),
        root.string("data_centre"),
        read_address(root.section("caller_address")),
        read_address(root.section("link_address")),
        read_address(root.section("operator_address")),
        _read_platform(root.section("platform")),
        _read_secret(root),
        _read_digest(root),
        root.objects("seeds", _read_seed),
        root.integer(
            "body_bytes_max", low=0, high=BODY_BYTES_MAX, default=BODY_BYTES_DEFAULT
        ),
        root.integer(
            "lookup_lifetime_ms",
            low=1,
            high=LOOKUP_LIFETIME_MS_MAX,
            default=LOOKUP_LIFETIME_MS_DEFAULT,
        ),
    )
    root.finish()
    return settings


def _read_platform(section: Section) -> PlatformAccess:
    return PlatformAccess(
        read_address(section.section("address")),
        section.string("token", length_max=SECRET_LENGTH_MAX),
    )


def _read_seed(section: Section) -> Seed:
    return Seed(
        section.string("name"),
        section.string("data_centre"),
        read_address(section.section("link_address")),
    )


def _read_secret(root: Section) -> str:
    secret = root.string("fleet_secret", length_max=SECRET_LENGTH_MAX)
    if secret and len(secret) < SECRET_LENGTH_MIN:
        root.report("fleet_secret", f"must have {SECRET_LENGTH_MIN} characters or more")
    return secret


def _read_digest(root: Section) -> str:
    digest = root.string("operator_token_digest")
    if digest and len(digest) != DIGEST_LENGTH:
        root.report("operator_token_digest", f"must have {DIGEST_LENGTH} digits")
    return digest
