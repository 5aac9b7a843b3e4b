"""What instances that send to targets themselves tell each other in datagrams.

A report is a whole statement of its sender at a moment. A lost or repeated one does no
harm, since the next one says all again; an older one that arrives late is recognised by
its sequence and ignored. An ask or a grant of tokens that is lost loses tokens, and one
that is repeated or late is recognised by its sequence and ignored.
"""

from typing import NamedTuple

__all__ = ["Datagram", "QuotaTable", "Report", "TokenAsk", "TokenGrant"]


class QuotaTable(NamedTuple):
    """What an instance tells of the rates, by organisations in order of their names.

    Attributes:
        digest: Checksum of the names that the values belong to.
        demands: What organisations ask of the sender, in thousandths of a request a
            second.
        grants: Part of each rate that the receiver may use, in thousandths.
        spares: Whole tokens in the sender's buckets.
    """

    digest: int
    demands: tuple[int, ...]
    grants: tuple[int, ...]
    spares: tuple[int, ...]


class Report(NamedTuple):
    """What one instance tells another.

    Attributes:
        is_leaving: Whether the sender is about to stop.
        is_serving: Whether the sender can serve callers.
        configuration_number: Configuration in force at the sender.
        configuration_age_ms: Time since the platform confirmed it; negative if never.
        open_by_target: Requests that the sender has open at targets, by target id.
        load_by_service: Load that callers bring to the sender, in thousandths of a
            target's slot.
        home_by_service: Share of objects that the sender's region owns, in
            thousandths; counts if the sender decides for the region.
        quota: What it tells of the rates.
    """

    is_leaving: bool
    is_serving: bool
    configuration_number: int
    configuration_age_ms: int
    open_by_target: dict[str, int]
    load_by_service: dict[str, int]
    home_by_service: dict[str, int]
    quota: QuotaTable


class TokenAsk(NamedTuple):
    """An instance asks for tokens.

    Attributes:
        organisation: Whose tokens.
        tokens: How many.
    """

    organisation: str
    tokens: int


class TokenGrant(NamedTuple):
    """An instance gives tokens that it has taken out of its own bucket.

    Attributes:
        organisation: Whose tokens.
        tokens: How many.
    """

    organisation: str
    tokens: int


class Datagram(NamedTuple):
    """A message with its sender.

    Attributes:
        sender: Name of the sender.
        incarnation: Incarnation of the sender.
        sequence: Grows with each datagram of the incarnation to the same receiver.
        body: The message.
    """

    sender: str
    incarnation: int
    sequence: int
    body: Report | TokenAsk | TokenGrant
