"""Choice of the instances that compare numbers between data centres."""

from collections.abc import Mapping, Sequence

from sequoiahook.decisions.rendezvous import order

__all__ = ["contacts"]

InstancesByDataCentre = Mapping[str, Sequence[str]]


def contacts(
    name: str,
    data_centre: str,
    instances_by_data_centre: InstancesByDataCentre,
    link_count: int,
) -> list[str]:
    """Return the instances of other data centres to compare numbers with.

    Each pair of data centres has a few links, chosen by rendezvous hashing, so that
    the links of one instance grow with the data centres, not with the instances.

    Args:
        name: The instance.
        data_centre: Its data centre.
        instances_by_data_centre: Names of the instances of each data centre.
        link_count: Number of links between two data centres.
    """
    names = []
    for other in sorted(instances_by_data_centre):
        if other != data_centre and instances_by_data_centre[other]:
            names.extend(
                _linked_instances(
                    name, data_centre, other, instances_by_data_centre, link_count
                )
            )
    return sorted(set(names))


def _linked_instances(
    name: str,
    data_centre: str,
    other: str,
    instances_by_data_centre: InstancesByDataCentre,
    link_count,
) -> list[str]:
    key = "configuration " + " ".join(sorted((data_centre, other)))
    local_order = order(key, instances_by_data_centre.get(data_centre, ()))
    remote_order = order(key, instances_by_data_centre[other])
    count = min(link_count, max(len(local_order), len(remote_order)))
    return [
        remote_order[index % len(remote_order)]
        for index in range(count)
        if local_order and local_order[index % len(local_order)] == name
    ]
