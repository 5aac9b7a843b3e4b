"""Assignment of instances to the links between two data centres."""

from collections.abc import Callable, Collection

from sequoiahook.decisions.rendezvous import order

__all__ = ["far_ends", "near_ends", "pair_key"]


def pair_key(first: str, second: str) -> str:
    """Return the hash key of a pair of data centres, the same on both sides."""
    return "\0".join(["link", *sorted((first, second))])


def near_ends(key: str, live: Collection[str], links: int) -> list[str]:
    """Return the names of the instances at the near ends of a pair's links, by slot.

    Args:
        key: Hash key of the pair.
        live: Names of the live instances of the near data centre.
        links: Number of links of the pair.
    """
    names = order(key, live)
    return [names[slot % len(names)] for slot in range(links) if names]


def far_ends(
    key: str,
    candidates: Collection[str],
    slots: Collection[int],
    retry_at: Callable[[str], int],
    now: int,
) -> set[str]:
    """Return the names of the instances at the far ends of some of a pair's links.

    Instances that were unresponsive on a link are skipped until their retry time; if
    all are skipped, the one with the earliest retry time is used.

    Args:
        key: Hash key of the pair.
        candidates: Names of the instances of the far data centre.
        slots: Slots held by the instance at the near end.
        retry_at: Returns the time from which an instance may be tried.
        now: The time in milliseconds.
    """
    names = order(key, candidates)
    usable = [name for name in names if retry_at(name) <= now]
    if not usable:
        usable = sorted(names, key=retry_at)[:1]
    return {usable[slot % len(usable)] for slot in slots if usable}
