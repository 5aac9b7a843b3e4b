"""The daemon of an instance that sends to targets itself: its sockets and tasks."""

import asyncio
import contextlib
import secrets
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerRequest,
    CallerServer,
    CallerServerSettings,
)
from sequoiahook.daemons.direct.caller_handler import CallerHandler, Dialect
from sequoiahook.daemons.direct.core_settings import (
    LOOKUP_COPIES,
    core_settings,
    freshness_settings,
    stopping_settings,
)
from sequoiahook.daemons.direct.following import Follower, FollowerSettings, Observer
from sequoiahook.daemons.direct.metrics import metrics_answer
from sequoiahook.daemons.direct.object_store import Kind, ObjectStore
from sequoiahook.daemons.direct.observers import (
    ConfigurationObserver,
    EvacuationObserver,
    InstanceObserver,
    TargetObserver,
)
from sequoiahook.daemons.direct.registering import Registration
from sequoiahook.daemons.direct.relay import Relay
from sequoiahook.daemons.direct.reporting import Reporter
from sequoiahook.daemons.direct.settings import Bounds, DirectSettings
from sequoiahook.daemons.links import Links, LinksSettings
from sequoiahook.daemons.target_http import TargetClient, TargetClientSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.stopping import (
    AnnounceLeaving,
    CloseIdleConnections,
    Exit,
    Stage,
    Stopping,
)
from sequoiahook.errors import PlatformError
from sequoiahook.metrics import Metrics
from sequoiahook.wire.target_dialect import TargetDialect
from sequoiahook.world.instance import Address, LiveInstance
from sequoiahook.world.routing import RoutingConfiguration

__all__ = ["DirectInstance", "InstanceDialect", "InstanceParts"]

INCARNATION_BITS = 53
STOP_TICK_MS = 50
WITHDRAW_MS = 200
"""Part of the time between the signal and the kill that the last call may take."""

FORGET_CHECK_MS = 5_000
"""How often entries of silent instances are looked for."""

LINGER_MS = 150
"""Time for requests on connections that were opened just before the last one."""

CONNECT_TIMEOUT_MS = 300
"""Time to open a connection to a target; the longest way and back takes 110 ms."""

TARGET_IDLE_MS = 8_000
"""Targets keep idle connections for some 10 s by default, at times for less."""

log = logbook.Logger("instance")


class InstanceDialect(Dialect, Protocol):
    """How all calls to an instance are written."""

    def read_lookup(self, request: CallerRequest):
        """Decode a look-up; None if the request is none."""

    def lookup_answer(
        self, addresses: Sequence[Address], lifetime_ms: int
    ) -> CallerAnswer:
        """Encode the answer to a look-up."""

    def is_readiness_check(self, request: CallerRequest) -> bool:
        """Return whether the platform asks if the instance is ready."""


class InstanceParts(NamedTuple):
    """What an instance is built from, besides its settings.

    Attributes:
        store: The platform's store.
        dialect: How callers speak.
        target_dialect: How targets speak.
        clock: The time, which goes on while the machine is suspended.
    """

    store: ObjectStore
    dialect: InstanceDialect
    target_dialect: TargetDialect
    clock: Clock


class DirectInstance:
    """Runs one instance until it is told to stop.

    Args:
        settings: Settings of the instance.
        parts: What it is built from.
    """

    def __init__(self, settings: DirectSettings, parts: InstanceParts):
        self.settings = settings
        self.metrics = Metrics()
        self._parts = parts
        self._clock = parts.clock
        me = LiveInstance(
            settings.name,
            secrets.randbits(INCARNATION_BITS),
            settings.data_centre,
            settings.region,
            settings.caller_address,
            settings.report_address,
            settings.link_mbps,
        )
        now = self._clock.now()
        self.core = DirectCore(core_settings(settings), me, now)
        self._targets = TargetClient(
            TargetClientSettings(
                connect_timeout_ms=CONNECT_TIMEOUT_MS, idle_ms=TARGET_IDLE_MS
            ),
            parts.target_dialect,
        )
        self._stopping = Stopping(stopping_settings(settings))
        self._stop_at: int | None = None
        self._reporter = Reporter(settings, self.core, self._clock)
        self._handler = CallerHandler(
            self.core,
            self._targets,
            parts.dialect,
            self._reporter,
            self._clock,
            self.metrics,
        )
        self._callers = _server(settings.caller_address, self._handle_caller)
        self._checks = _server(settings.readiness_address, self._handle_check)
        self._lookups = _server(settings.lookup_address, self._handle_lookup)
        self._metrics = _server(settings.metrics_address, self._handle_metrics)
        self._registration = Registration(parts.store, me, settings.durations)
        self._instances = InstanceObserver(
            self.core, self._clock, self._registration.ask
        )
        self._relay = Relay(
            me,
            parts.store,
            self._clock,
            self._follow_from,
            self._avoid,
            self._leads,
            is_first_start=settings.is_first_start,
        )
        self._links: Links | None = None
        self._exited: asyncio.Future[int] | None = None

    async def run(self) -> int:
        """Serve until a graceful stop is complete.

        Returns:
            The exit code.

        Raises:
            OSError: If an address cannot be had.
        """
        self._exited = asyncio.get_running_loop().create_future()
        for server in (self._callers, self._checks, self._lookups, self._metrics):
            await server.start()
        await self._reporter.start()
        log.info("start", extra={"incarnation": self.core.me.incarnation})
        tasks = [asyncio.create_task(work) for work in self._work()]
        try:
            await asyncio.wait(
                {self._exited, *tasks}, return_when=asyncio.FIRST_COMPLETED
            )
            return self._exit_code(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if self._stop_at is not None:
                await self._withdraw()
            self._reporter.close()
            self._relay.close()
            if self._links is not None:
                await self._links.stop()
            self._targets.close()
            self._parts.store.close()

    async def _withdraw(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_MS / MS_PER_S):
                await self._registration.withdraw()

    def stop(self) -> None:
        """Start a graceful stop; a second call shortens its waits."""
        now = self._clock.now()
        if self._stop_at is None:
            self._stop_at = now
            log.info("stop", extra={"open": self._handler.open_count})
        self._carry(self._stopping.signal(now))
        self._carry(self._stopping.handed_over(now))

    def reload(self, bounds: Bounds) -> None:
        """Take in bounds of a settings file that changed."""
        self.core.freshness.settings = freshness_settings(bounds)
        self.settings = self.settings._replace(bounds=bounds)
        log.info("reload", extra=bounds._asdict())

    def _work(self) -> list:
        durations = self.settings.durations
        core, clock = self.core, self._clock
        observers: list[tuple[Kind, int, Observer]] = [
            (
                Kind.CONFIGURATION,
                durations.configuration_wait_ms,
                ConfigurationObserver(core, clock, self._configured),
            ),
            (Kind.TARGETS, durations.target_wait_ms, TargetObserver(core, clock)),
            (
                Kind.EVACUATIONS,
                durations.evacuation_wait_ms,
                EvacuationObserver(core, clock),
            ),
            (
                Kind.INSTANCES,
                durations.instance_wait_ms,
                self._instances,
            ),
        ]
        followers = [
            Follower(
                FollowerSettings(
                    kind,
                    wait_ms,
                    durations.store_retry_ms,
                    durations.store_gather_ms,
                ),
                self._relay,
                clock,
                (observer, self._relay.observer(kind)),
            ).run()
            for kind, wait_ms, observer in observers
        ]
        return [
            *followers,
            self._registration.run(),
            self._join_reports(),
            self._reporter.run(),
            self._tick_stop(),
            self._forget_peers(),
        ]

    async def _join_reports(self) -> None:
        secret = await self._registration.secret()
        self._reporter.secret = secret.encode("ascii")
        self._links = Links(
            LinksSettings(
                self.settings.name,
                self.core.me.incarnation,
                secret,
                self.settings.report_address,
            ),
            self._relay.on_link_event,
        )
        await self._links.start()
        self._relay.use(self._links)
        await asyncio.Event().wait()

    def _follow_from(self) -> LiveInstance | None:
        return self.core.relay_peer(self._clock.now())

    def _leads(self) -> bool:
        return self.core.leads_region(self._clock.now())

    def _avoid(self, peer: str) -> None:
        self.core.avoid_relay(peer, self._clock.now())

    async def _forget_peers(self) -> None:
        """Delete entries of instances that have been silent for long."""
        kind = Kind.INSTANCES
        while True:
            await asyncio.sleep(FORGET_CHECK_MS / MS_PER_S)
            for name in self.core.expired_peers(self._clock.now()):
                revision = self._instances.revision_by_name.get(name)
                if revision is None:
                    continue
                try:
                    await self._parts.store.delete(kind, name, revision)
                    log.info("entry deleted", extra={"name": name})
                except PlatformError as error:
                    log.info("entry not deleted", extra={"error": str(error)})

    async def _tick_stop(self) -> None:
        while True:
            await asyncio.sleep(STOP_TICK_MS / MS_PER_S)
            if self._stop_at is None:
                continue
            now = self._clock.now()
            self._carry(self._stopping.tick(now))
            if self._is_unused(now):
                self._carry(self._stopping.signal(now))
            bounds, durations = self.settings.bounds, self.settings.durations
            if now - self._stop_at >= bounds.stop_ms - durations.exit_ms:
                self._carry([Exit(0)])

    def _is_unused(self, now: int) -> bool:
        """Return whether callers have left an instance that stops."""
        lifetime_ms = self.settings.durations.lookup_lifetime_ms
        if now - self._stop_at < LOOKUP_COPIES * lifetime_ms // 2:
            return False
        is_idle = now - self._handler.last_request_at >= lifetime_ms
        return is_idle and self._handler.open_count == 0

    def _carry(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, AnnounceLeaving):
                self.core.is_leaving = True
                self._callers.announce_close()
                self._reporter.send(includes_far=True)
            elif isinstance(effect, CloseIdleConnections):
                asyncio.get_running_loop().create_task(self._close_callers())
            elif isinstance(effect, Exit) and not self._exited.done():
                log.info("exit", extra={"open": self._handler.open_count})
                self._exited.set_result(effect.code)
        if self._stopping.stage >= Stage.FINISHING:
            self._callers.stop_listening()

    async def _close_callers(self) -> None:
        self._callers.stop_listening()
        await asyncio.sleep(LINGER_MS / MS_PER_S)
        await self._callers.close_gracefully()
        self._carry(self._stopping.connections_closed(self._clock.now()))

    def _exit_code(self, tasks: list[asyncio.Task]) -> int:
        """Return the code of a planned stop; a task that failed ends the process."""
        if self._exited.done():
            return self._exited.result()
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                error = task.exception()
                log.critical(
                    "task failed", exc_info=(type(error), error, error.__traceback__)
                )
        return 1

    def _configured(self, configuration: RoutingConfiguration) -> None:
        limits = configuration.limits
        self._callers.settings = self._callers.settings._replace(
            header_bytes_max=limits.header_bytes_max,
            body_bytes_max=limits.body_bytes_max,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )

    async def _handle_caller(self, request: CallerRequest) -> CallerAnswer:
        if not self._stopping.start_work():
            return self._handler.refuse_stopping(request)
        try:
            return await self._handler.handle(request)
        finally:
            self._carry(self._stopping.finish_work(self._clock.now()))

    async def _handle_check(self, request: CallerRequest) -> CallerAnswer:
        if not self._parts.dialect.is_readiness_check(request):
            return CallerAnswer(404, (), b"")
        is_ready = self.core.is_ready(self._clock.now())
        return CallerAnswer(200 if is_ready else 503, (), b"")

    async def _handle_lookup(self, request: CallerRequest) -> CallerAnswer:
        question = self._parts.dialect.read_lookup(request)
        if question is None:
            return CallerAnswer(404, (), b"")
        self.metrics.count("look-ups")
        addresses = self.core.addresses(question.region, self._clock.now())
        lifetime_ms = self.settings.durations.lookup_lifetime_ms
        return self._parts.dialect.lookup_answer(addresses, lifetime_ms)

    async def _handle_metrics(self, request: CallerRequest) -> CallerAnswer:
        return metrics_answer(self.metrics, self.core, self._clock.now())


def _server(
    address: Address, handler: Callable[[CallerRequest], Awaitable[CallerAnswer]]
) -> CallerServer:
    return CallerServer(CallerServerSettings(*address), handler)
