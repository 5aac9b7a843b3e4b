"""Mapping from paths to services."""

from sequoiahook.world.configuration import Configuration
from sequoiahook.world.service import Service

__all__ = ["Routes"]


class Routes:
    """The path prefixes of all services; the longest match applies.

    Args:
        configuration: The configuration in force.
    """

    def __init__(self, configuration: Configuration):
        services = configuration.services_by_name.values()
        self._services = sorted(services, key=lambda service: -len(service.path_prefix))

    def match(self, path: str) -> Service | None:
        """Return the service of a path without query; None if there is none.

        A prefix matches whole segments: ``/a`` matches ``/a/b`` but not ``/ab``.
        """
        for service in self._services:
            prefix = service.path_prefix.rstrip("/")
            if path == prefix or path.startswith(f"{prefix}/"):
                return service
        return None
