"""HTTP interface of an instance for operators, with JSON documents."""

import hmac
import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from sequoiahook.daemons.caller_http import CallerAnswer, CallerRequest
from sequoiahook.errors import CheckError
from sequoiahook.metrics import Metrics
from sequoiahook.options import parse_json
from sequoiahook.world.organisation import key_digest

__all__ = ["OperatorHandler", "OperatorInterface"]

PATCHES_PREFIX = "/patches/"
_JSON_HEADERS = ((b"content-type", b"application/json"),)


class OperatorInterface(Protocol):
    """Operations that an instance provides to operators."""

    def configuration(self) -> dict[str, Any]:
        """Return the number and document of the configuration in force."""

    def metrics(self) -> Metrics:
        """Return counters and latencies."""

    def stop(self) -> dict[str, Any]:
        """Start a graceful stop."""

    async def patch(self, document: Any) -> dict[str, Any]:
        """Apply a patch and return its outcome."""

    async def outcome(self, patch_id: str) -> dict[str, Any]:
        """Return the outcome of a patch."""

    async def status(self) -> dict[str, Any]:
        """Return the configuration number in force at each instance."""


class OperatorHandler:
    """Checks the operators' token and answers their requests.

    Args:
        token_digest: SHA-256 digest of the token, hexadecimal.
        interface: Operations of the instance.
    """

    def __init__(self, token_digest: str, interface: OperatorInterface):
        self._token_digest = token_digest
        self._interface = interface
        self._routes: dict[tuple[str, str], Callable[[Any], Awaitable[Any]]] = {
            ("GET", "/configuration"): self._configuration,
            ("GET", "/measures"): self._metrics,
            ("GET", "/status"): self._status,
            ("POST", "/patches"): self._interface.patch,
            ("POST", "/stop"): self._stop,
        }

    async def __call__(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request."""
        if not self._is_operator(request):
            return _answer(401, {"error": "the operators' token is required"})
        path = request.target_path.decode("latin-1")
        if request.method == "GET" and path.startswith(PATCHES_PREFIX):
            patch_id = path.removeprefix(PATCHES_PREFIX)
            return _answer(200, await self._interface.outcome(patch_id))
        route = self._routes.get((request.method, path))
        if route is None:
            return _answer(404, {"error": "no such resource"})
        try:
            document = parse_json(request.body) if request.body else None
        except CheckError as error:
            findings = [finding._asdict() for finding in error.findings]
            return _answer(400, {"outcome": "invalid", "findings": findings})
        return _answer(200, await route(document))

    def _is_operator(self, request: CallerRequest) -> bool:
        header = dict(request.headers).get(b"authorization", b"").decode("latin-1")
        scheme, _, token = header.partition(" ")
        if scheme.lower() != "bearer":
            return False
        return hmac.compare_digest(key_digest(token.strip()), self._token_digest)

    async def _configuration(self, _: Any) -> dict[str, Any]:
        return self._interface.configuration()

    async def _metrics(self, _: Any) -> dict[str, Any]:
        metrics = self._interface.metrics()
        latencies_by_name = {
            name: summary._asdict()
            for name, summary in metrics.latencies_by_name.items()
        }
        return {
            "counts_by_name": metrics.counts_by_name,
            "latencies_by_name": latencies_by_name,
        }

    async def _status(self, _: Any) -> dict[str, Any]:
        return await self._interface.status()

    async def _stop(self, _: Any) -> dict[str, Any]:
        return self._interface.stop()


def _answer(status: int, document: dict[str, Any]) -> CallerAnswer:
    return CallerAnswer(status, _JSON_HEADERS, json.dumps(document).encode())
