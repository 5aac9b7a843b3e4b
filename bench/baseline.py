"""The baseline: round robin, rate divided by instances, a FIFO queue per target."""

from bench.fakes import FakeTarget, TokenBucket
from bench.measures import Request
from bench.sizes import Size
from bench.world import World

__all__ = ["Baseline"]


class Baseline:
    """What a simple balancer on each instance would do."""

    def __init__(self, world: World):
        self._world = world
        instances = [i for d in world.size.data_centres for i in _names(world.size, d)]
        self._buckets = {
            (instance_name, name): TokenBucket(organisation.contract, len(instances))
            for instance_name in instances
            for name, organisation in world.configuration.organisations_by_name.items()
        }
        self._turns: dict[tuple, int] = {}
        for fake in world.targets_by_name.values():
            fake.has_queue = True

    def configure(self) -> None:
        """Take the world's configuration."""
        for fake in self._world.targets_by_name.values():
            fake.has_queue = True

    def accept(self, instance_name: str, request: Request, answer) -> None:
        """Send a request to the next target of the data centre."""
        world = self._world
        if not self._buckets[instance_name, request.organisation].spend(
            world.engine.now
        ):
            answer(request, "refused")
            return
        data_centre = instance_name.rpartition("-")[0]
        source = data_centre
        for shift in world.configuration.shifts_by_name.values():
            if (shift.service, shift.source) != (request.load.service, data_centre):
                continue
            if self._turn("shift", shift.name) % 100 < shift.share_percent:
                data_centre = shift.destination
                world.record_shifted(shift)
        targets = self._targets(request.load.service, data_centre)
        fake = targets[self._turn(instance_name, request.load.service) % len(targets)]
        size = request.load.request_bytes
        world.network.send(source, data_centre, size, self._run, fake, request, answer)

    def _run(self, fake: FakeTarget, request: Request, answer) -> None:
        fake.run(
            request,
            lambda is_success, _: self._world.engine.call_later(
                1, answer, request, "ok" if is_success else "error"
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

    def _turn(self, *key: str) -> int:
        self._turns[key] = self._turns.get(key, -1) + 1
        return self._turns[key]


def _names(size: Size, data_centre: str) -> list[str]:
    return size.instances(data_centre)
