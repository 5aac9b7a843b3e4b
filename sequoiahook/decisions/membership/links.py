"""Which instances hold the links between two data centres."""

from collections.abc import Callable, Collection

from sequoiahook.decisions.rendezvous import order

__all__ = ["far_ends", "near_ends", "pair_key"]


def pair_key(first: str, second: str) -> str:
    """Return the key of a pair of data centres; the same from both sides."""
    return "\0".join(["link", *sorted((first, second))])


def near_ends(key: str, live: Collection[str], links: int) -> list[str]:
    """Return who holds the own ends of the links of a pair, by slot.

    Args:
        key: The key of the pair.
        live: Names of the live instances of the data centre.
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
    """Return whom an instance that holds some slots of a pair links to.

    Instances that were silent on a link are passed over until they are due again;
    if all were, the one that is due first is taken.

    Args:
        key: The key of the pair.
        candidates: Names of the instances of the other data centre.
        slots: Slots that the instance holds.
        retry_at: When an instance may be tried; in the past for most.
        now: The time in milliseconds.
    """
    names = order(key, candidates)
    usable = [name for name in names if retry_at(name) <= now]
    if not usable:
        usable = sorted(names, key=retry_at)[:1]
    return {usable[slot % len(usable)] for slot in slots if usable}
