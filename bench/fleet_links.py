"""Count the links between instances at several fleet sizes.

Run with ``python -m bench.fleet_links``; prints one JSON object per line.
"""

import json
from collections import Counter, defaultdict

from sequoiahook.decisions.membership.links import far_ends, near_ends, pair_key

SIZES = ((6, 12), (12, 288), (23, 550), (46, 1100))
LINKS_PER_PAIR = 2


def new_fleet(data_centres: int, instances: int) -> dict[str, list[str]]:
    """Return the names of evenly spread instances by data centre."""
    names_by_data_centre = defaultdict(list)
    for number in range(instances):
        data_centre = f"dc{number % data_centres}"
        names_by_data_centre[data_centre].append(f"{data_centre}-{number}")
    return dict(names_by_data_centre)


def pair_links(
    first: str, second: str, names_by_data_centre: dict
) -> set[frozenset[str]]:
    """Return the links that either side of a pair of data centres chooses."""
    links = set()
    for near, far in ((first, second), (second, first)):
        key = pair_key(near, far)
        near_names = near_ends(key, names_by_data_centre[near], LINKS_PER_PAIR)
        for near_name in set(near_names):
            slots = [slot for slot, name in enumerate(near_names) if name == near_name]
            far_names = far_ends(
                key, names_by_data_centre[far], slots, lambda name: 0, 0
            )
            links |= {frozenset((near_name, far_name)) for far_name in far_names}
    return links


def count_links(data_centres: int, instances: int) -> dict:
    """Return the link counts at one fleet size."""
    names_by_data_centre = new_fleet(data_centres, instances)
    far_link_counts_by_name: Counter[str] = Counter()
    link_count = 0
    data_centre_names = sorted(names_by_data_centre)
    for index, first in enumerate(data_centre_names):
        for second in data_centre_names[index + 1 :]:
            for link in pair_links(first, second, names_by_data_centre):
                link_count += 1
                far_link_counts_by_name.update(link)
    near_link_count = sum(
        len(members) * (len(members) - 1) // 2
        for members in names_by_data_centre.values()
    )
    far_link_counts = [
        far_link_counts_by_name[name]
        for members in names_by_data_centre.values()
        for name in members
    ]
    near_links_max = max(len(members) for members in names_by_data_centre.values()) - 1
    return {
        "data_centres": data_centres,
        "instances": instances,
        "links_in_data_centres": near_link_count,
        "links_between_data_centres": link_count,
        "links_of_a_full_mesh": instances * (instances - 1) // 2,
        "far_links_per_instance_mean": round(
            sum(far_link_counts) / len(far_link_counts), 2
        ),
        "far_links_per_instance_max": max(far_link_counts),
        "links_per_instance_max": near_links_max + max(far_link_counts),
    }


def main() -> None:
    """Count at each size."""
    for size in SIZES:
        print(json.dumps(count_links(*size)), flush=True)


if __name__ == "__main__":
    main()
