"""Which instances of two data centres compare their configuration numbers."""

from collections.abc import Mapping, Sequence

from sequoiahook.decisions.rendezvous import order

__all__ = ["contacts"]

InstancesByDataCentre = Mapping[str, Sequence[str]]


def contacts(
    name: str, data_centre: str, instances: InstancesByDataCentre, links: int
) -> list[str]:
    """Return the instances of other data centres that an instance compares with.

    Each pair of data centres has a few links, chosen by rendezvous hashing, so that
    the count for one instance grows with the data centres, not with the instances.

    Args:
        name: The instance.
        data_centre: Its data centre.
        instances: Instances by data centre.
        links: How many links a pair of data centres has.
    """
    found = []
    for other in sorted(instances):
        if other != data_centre and instances[other]:
            found.extend(_pair(name, data_centre, other, instances, links))
    return sorted(set(found))


def _pair(
    name: str, data_centre: str, other: str, instances: InstancesByDataCentre, links
) -> list[str]:
    key = "configuration " + " ".join(sorted((data_centre, other)))
    ours = order(key, instances.get(data_centre, ()))
    theirs = order(key, instances[other])
    count = min(links, max(len(ours), len(theirs)))
    return [
        theirs[index % len(theirs)]
        for index in range(count)
        if ours and ours[index % len(ours)] == name
    ]
