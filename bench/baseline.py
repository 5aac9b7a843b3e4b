"""The baseline: round robin, rate divided by instances, a FIFO queue per target."""

from bench.fakes import FakeTarget, TokenBucket
from bench.measures import Request
from bench.sizes import Size
from bench.world import World

__all__ = ["Baseline"]


class Baseline:
    """Simple load balancers, one on each instance, that share no state."""

    def __init__(self, world: World):
        self._world = world
        instance_names = [
            i for d in world.size.data_centres for i in _instance_names(world.size, d)
        ]
        self._buckets = {
            (instance_name, name): TokenBucket(
                organisation.contract, len(instance_names)
            )
            for instance_name in instance_names
            for name, organisation in world.configuration.organisations_by_name.items()
        }
        self._counters_by_key: dict[tuple, int] = {}
        for fake in world.targets_by_name.values():
            fake.has_queue = True

    def configure(self) -> None:
        """Apply the world's current configuration; added targets queue as well."""
        for fake in self._world.targets_by_name.values():
            fake.has_queue = True

    def accept(self, instance_name: str, request: Request, on_answer) -> None:
        """Send a request to the next target of the data centre, in round robin."""
        world = self._world
        if not self._buckets[instance_name, request.organisation].spend(
            world.engine.now
        ):
            on_answer(request, "refused")
            return
        data_centre = instance_name.rpartition("-")[0]
        source = data_centre
        for shift in world.configuration.shifts_by_name.values():
            if (shift.service, shift.source) != (request.load.service, data_centre):
                continue
            if self._next_count("shift", shift.name) % 100 < shift.share_percent:
                data_centre = shift.destination
                world.record_shifted(shift)
        targets = self._targets(request.load.service, data_centre)
        fake = targets[
            self._next_count(instance_name, request.load.service) % len(targets)
        ]
        size = request.load.request_bytes
        world.network.send(
            source, data_centre, size, self._run, fake, request, on_answer
        )

    def _run(self, fake: FakeTarget, request: Request, on_answer) -> None:
        fake.run(
            request,
            lambda is_success, _: self._world.engine.call_later(
                1, on_answer, request, "ok" if is_success else "error"
            ),
        )

    def _targets(self, service: str, data_centre: str) -> list[FakeTarget]:
        return [
            fake
            for fake in self._world.targets_by_name.values()
            if fake.target.service == service
            and fake.target.data_centre == data_centre
            and fake.target.state == "active"
        ]

    def _next_count(self, *key: str) -> int:
        self._counters_by_key[key] = self._counters_by_key.get(key, -1) + 1
        return self._counters_by_key[key]


def _instance_names(size: Size, data_centre: str) -> list[str]:
    return size.instance_names(data_centre)
