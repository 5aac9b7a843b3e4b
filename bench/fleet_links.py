"""Count the links between instances at several sizes of the fleet.

Run with ``python -m bench.fleet_links``; prints one JSON object a line.
"""

import json
from collections import Counter, defaultdict

from sequoiahook.decisions.membership.links import far_ends, near_ends, pair_key

SIZES = ((6, 12), (12, 288), (23, 550), (46, 1100))
LINKS_PER_PAIR = 2


def fleet(data_centres: int, instances: int) -> dict[str, list[str]]:
    """Return names of instances by data centre, spread evenly."""
    by_data_centre = defaultdict(list)
    for number in range(instances):
        name = f"dc{number % data_centres}"
        by_data_centre[name].append(f"{name}-{number}")
    return dict(by_data_centre)


def links_of_pair(first: str, second: str, names: dict) -> set[frozenset[str]]:
    """Return the links of a pair of data centres, as both sides choose them."""
    links = set()
    for near, far in ((first, second), (second, first)):
        key = pair_key(near, far)
        ends = near_ends(key, names[near], LINKS_PER_PAIR)
        for end in set(ends):
            slots = [slot for slot, name in enumerate(ends) if name == end]
            others = far_ends(key, names[far], slots, lambda name: 0, 0)
            links |= {frozenset((end, other)) for other in others}
    return links


def count(data_centres: int, instances: int) -> dict:
    """Count links at one size."""
    names = fleet(data_centres, instances)
    held: Counter[str] = Counter()
    links = 0
    ordered = sorted(names)
    for at, first in enumerate(ordered):
        for second in ordered[at + 1 :]:
            for link in links_of_pair(first, second, names):
                links += 1
                held.update(link)
    meshed = sum(len(mesh) * (len(mesh) - 1) // 2 for mesh in names.values())
    far = [held[name] for mesh in names.values() for name in mesh]
    near_max = max(len(mesh) for mesh in names.values()) - 1
    return {
        "data_centres": data_centres,
        "instances": instances,
        "links_in_data_centres": meshed,
        "links_between_data_centres": links,
        "links_of_a_full_mesh": instances * (instances - 1) // 2,
        "far_links_per_instance_mean": round(sum(far) / len(far), 2),
        "far_links_per_instance_max": max(far),
        "links_per_instance_max": near_max + max(far),
    }


def main() -> None:
    """Count at each size."""
    for size in SIZES:
        print(json.dumps(count(*size)), flush=True)


if __name__ == "__main__":
    main()
