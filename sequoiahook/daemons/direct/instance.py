"""Daemon of an instance that sends requests to targets itself: sockets and tasks."""

import asyncio
import contextlib
import secrets
from collections.abc import Awaitable, Callable

import logbook

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_exchange import call_at_end
from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerRequest,
    CallerServer,
    CallerServerSettings,
)
from sequoiahook.daemons.caller_limits import CallerLimits, caller_limits
from sequoiahook.daemons.direct.caller_handler import CallerHandler
from sequoiahook.daemons.direct.components import InstanceComponents
from sequoiahook.daemons.direct.core_settings import (
    LOOKUP_LIFETIME_FACTOR,
    core_settings,
    freshness_settings,
    stopping_settings,
)
from sequoiahook.daemons.direct.entry_expirer import EntryExpirer
from sequoiahook.daemons.direct.explain import explain_answer, is_explain_call
from sequoiahook.daemons.direct.following import Follower, FollowerSettings, Observer
from sequoiahook.daemons.direct.handovers import Handovers
from sequoiahook.daemons.direct.metrics import metrics_answer
from sequoiahook.daemons.direct.object_store import Kind
from sequoiahook.daemons.direct.observers import (
    ConfigurationObserver,
    EvacuationObserver,
    InstanceObserver,
    TargetObserver,
)
from sequoiahook.daemons.direct.probing import Prober
from sequoiahook.daemons.direct.registering import Registration
from sequoiahook.daemons.direct.relay import Relay
from sequoiahook.daemons.direct.relay_choice import CoreRelayChoice
from sequoiahook.daemons.direct.reporting import Reporter
from sequoiahook.daemons.direct.request_runner import RequestRunner
from sequoiahook.daemons.direct.settings import Bounds, DirectSettings
from sequoiahook.daemons.held_answers import AnswerMemory
from sequoiahook.daemons.links import Links, LinksSettings
from sequoiahook.daemons.target_http import TargetClient, TargetClientSettings
from sequoiahook.decisions.direct.core import PROTOCOL, DirectCore
from sequoiahook.decisions.stopping import (
    AnnounceLeaving,
    CloseIdleConnections,
    Exit,
    Stage,
    Stopping,
)
from sequoiahook.metrics import Metrics
from sequoiahook.world.instance import Address, LiveInstance
from sequoiahook.world.routing import RoutingConfiguration

__all__ = ["DirectInstance"]

INCARNATION_BITS = 53
STOP_TICK_MS = 50
WITHDRAW_TIMEOUT_MS = 200
"""Longest time for deleting the own entry between the exit and the kill."""

LAST_WRITE_MS = 200
"""Longest time for which callers may read answers between the exit and the kill."""

LINGER_MS = 150
"""Time for requests on connections that were opened just before listening stopped."""

CONNECT_TIMEOUT_MS = 300
"""Time limit for connecting to a target; the longest round trip takes 110 ms."""

TARGET_IDLE_MS = 8_000
"""Targets keep idle connections for about 10 s by default, sometimes for less."""

AUXILIARY_BODY_BYTES_MAX = 4_096
AUXILIARY_BYTES_MAX = 1 << 20
"""Limits of the servers for readiness checks, metrics and look-ups."""

log = logbook.Logger("instance")


class DirectInstance:
    """Runs one instance until a graceful stop is complete.

    Args:
        settings: Settings of the instance.
        components: Components that depend on the platform.
    """

    def __init__(self, settings: DirectSettings, components: InstanceComponents):
        self.settings = settings
        self.metrics = Metrics()
        self._components = components
        self._clock = components.clock
        me = LiveInstance(
            settings.name,
            secrets.randbits(INCARNATION_BITS),
            settings.data_centre,
            settings.region,
            settings.caller_address,
            settings.report_address,
            settings.link_mbps,
            settings.handover_address,
            PROTOCOL,
        )
        now = self._clock.now()
        limits = caller_limits(settings.machine)
        self.core = DirectCore(core_settings(settings), me, now)
        answers = AnswerMemory()
        self._targets = TargetClient(
            TargetClientSettings(
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                idle_ms=TARGET_IDLE_MS,
                all_idle_max=limits.idle_targets_max,
                all_answer_bytes_max=limits.unread_bytes_max,
            ),
            components.target_dialect,
            answers,
        )
        self._limits = limits
        self._stop_at: int | None = None
        self._stop_called = asyncio.Event()
        self._reporter = Reporter(settings, self.core, self._clock)
        runner = RequestRunner(
            self.core,
            self._targets,
            components.dialect.target_fields,
            self._reporter,
            self._clock,
        )
        self._handler = CallerHandler(
            self.core, runner, components.dialect, self._clock, self.metrics
        )
        self._handovers = Handovers(
            self.core,
            runner,
            Prober(self.core, self._targets, self._clock),
            self._reporter.send_token_requests,
            self._clock,
            limits,
            answers,
        )
        self._reporter.on_connectivity_doubted = self._handovers.wake
        self._stopping = Stopping(
            stopping_settings(settings), lambda: self._handovers.execution_count
        )
        self._caller_server = CallerServer(
            _caller_settings(settings.caller_address, limits),
            self._handle_caller,
            self._handler.is_repeatable,
            answers,
        )
        self._readiness_server = _server(
            settings.readiness_address, limits, self._handle_readiness
        )
        self._lookup_server = _server(
            settings.lookup_address,
            limits,
            self._handle_lookup,
            limits.lookup_connections_max,
        )
        self._metrics_server = _server(
            settings.metrics_address, limits, self._handle_metrics
        )
        self._registration = Registration(
            components.store,
            me,
            settings.durations,
            is_first_start=settings.is_first_start,
        )
        self._instance_observer = InstanceObserver(
            self.core, self._clock, self._registration.check_entry
        )
        self._relay = Relay(
            me,
            components.store,
            self._clock,
            CoreRelayChoice(self.core, self._clock),
            is_first_start=settings.is_first_start,
        )
        self._links: Links | None = None
        self._exited: asyncio.Future[int] | None = None

    async def run(self) -> int:
        """Serve until a graceful stop is complete.

        Returns:
            The exit code.

        Raises:
            OSError: If an address cannot be bound.
        """
        self._exited = asyncio.get_running_loop().create_future()
        for server in self._servers:
            await server.start()
        await self._reporter.start()
        log.info("start", extra={"incarnation": self.core.me.incarnation})
        tasks = [asyncio.create_task(work) for work in self._background_coroutines()]
        try:
            await asyncio.wait(
                {self._exited, *tasks}, return_when=asyncio.FIRST_COMPLETED
            )
            return self._exit_code(tasks)
        finally:
            await asyncio.gather(
                *(server.end_connections(LAST_WRITE_MS) for server in self._servers)
            )
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if self._stop_at is not None:
                await self._withdraw()
            self._reporter.close()
            self._relay.close()
            await self._handovers.close()
            if self._links is not None:
                await self._links.stop()
            self._targets.close()
            self._components.store.close()

    @property
    def _servers(self) -> tuple[CallerServer, ...]:
        return (
            self._caller_server,
            self._readiness_server,
            self._lookup_server,
            self._metrics_server,
        )

    async def _withdraw(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_TIMEOUT_MS / MS_PER_S):
                await self._registration.withdraw()

    def stop(self) -> None:
        """Start a graceful stop; a second call shortens its waits."""
        now = self._clock.now()
        if self._stop_at is None:
            self._stop_at = now
            self._stop_called.set()
            log.info("stop", extra={"open": self._handler.open_count})
        self._apply_effects(self._stopping.signal(now))
        self._apply_effects(self._stopping.handed_over(now))

    def reload(self, bounds: Bounds) -> None:
        """Apply changed bounds on withdrawals and on the time for a stop.

        The other bounds apply from the next start.
        """
        self.core.freshness.settings = freshness_settings(bounds)
        self.settings = self.settings._replace(bounds=bounds)
        if self._stop_at is not None:
            self._leave()
        log.info("reload", extra=bounds._asdict())

    def _background_coroutines(self) -> list:
        durations = self.settings.durations
        core, clock = self.core, self._clock
        observers: list[tuple[Kind, int, Observer]] = [
            (
                Kind.CONFIGURATION,
                durations.configuration_wait_ms,
                ConfigurationObserver(core, clock, self._apply_limits),
            ),
            (Kind.TARGETS, durations.target_wait_ms, TargetObserver(core, clock)),
            (
                Kind.EVACUATIONS,
                durations.evacuation_wait_ms,
                EvacuationObserver(core, clock),
            ),
            (Kind.INSTANCES, durations.instance_wait_ms, self._instance_observer),
        ]
        followers = [
            Follower(
                FollowerSettings(
                    kind, wait_ms, durations.store_retry_ms, durations.store_batch_ms
                ),
                self._relay,
                clock,
                (observer, self._relay.cache_observer(kind)),
                self._awaits_entry if kind is Kind.INSTANCES else lambda: False,
            ).run()
            for kind, wait_ms, observer in observers
        ]
        return [
            *followers,
            self._registration.run(),
            self._join_fleet(),
            self._reporter.run(),
            self._tick_stop(),
            EntryExpirer(
                self.core, self._components.store, clock, self._instance_observer
            ).run(),
        ]

    async def _join_fleet(self) -> None:
        secret = await self._registration.secret()
        self._reporter.secret = secret.encode("ascii")
        self._links = Links(
            LinksSettings(
                self.settings.name,
                self.core.me.incarnation,
                secret,
                self.settings.report_address,
                self._limits.unauthenticated_max,
            ),
            self._relay.on_link_event,
        )
        await self._links.start()
        self._relay.set_links(self._links)
        if self.settings.handover_address is not None:
            await self._handovers.run(secret)
        await asyncio.Event().wait()

    def _awaits_entry(self) -> bool:
        """Return whether shares are unused until the store confirms the own entry."""
        return not self.core.fleet.lease.is_valid

    async def _tick_stop(self) -> None:
        await self._stop_called.wait()
        while True:
            await asyncio.sleep(STOP_TICK_MS / MS_PER_S)
            now = self._clock.now()
            self._apply_effects(self._stopping.tick(now))
            if self._is_unused(now):
                self._apply_effects(self._stopping.signal(now))
            if now - self._stop_at >= self.settings.stopping_ms:
                self._apply_effects([Exit(0)])

    def _leave(self) -> None:
        """Allow only requests that are answered before the exit."""
        last_answer_ms = self.settings.durations.last_answer_ms
        self.core.leave(self._stop_at + self.settings.stopping_ms - last_answer_ms)

    def _is_unused(self, now: int) -> bool:
        """Return whether callers no longer use this stopping instance."""
        lifetime_ms = self.settings.durations.lookup_lifetime_ms
        if now - self._stop_at < LOOKUP_LIFETIME_FACTOR * lifetime_ms // 2:
            return False
        is_idle = now - self._handler.last_request_at >= lifetime_ms
        return is_idle and self._handler.open_count == 0

    def _apply_effects(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, AnnounceLeaving):
                self._leave()
                self._caller_server.announce_close()
                self._reporter.send(includes_far=True)
            elif isinstance(effect, CloseIdleConnections):
                asyncio.get_running_loop().create_task(self._close_connections())
            elif isinstance(effect, Exit) and not self._exited.done():
                log.info("exit", extra={"open": self._handler.open_count})
                self._exited.set_result(effect.code)
        if self._stopping.stage >= Stage.FINISHING:
            self._caller_server.stop_listening()

    async def _close_connections(self) -> None:
        self._caller_server.stop_listening()
        await asyncio.sleep(LINGER_MS / MS_PER_S)
        await self._caller_server.close_gracefully()
        self._apply_effects(self._stopping.connections_closed(self._clock.now()))

    def _exit_code(self, tasks: list[asyncio.Task]) -> int:
        """Return the exit code of a graceful stop, or 1 if a task failed."""
        if self._exited.done():
            return self._exited.result()
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                error = task.exception()
                log.critical(
                    "task failed", exc_info=(type(error), error, error.__traceback__)
                )
        return 1

    def _apply_limits(self, configuration: RoutingConfiguration) -> None:
        limits = configuration.limits
        self._caller_server.settings = self._caller_server.settings._replace(
            header_bytes_max=limits.header_bytes_max,
            body_bytes_max=limits.body_bytes_max,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )

    async def _handle_caller(self, request: CallerRequest) -> CallerAnswer:
        if not self._stopping.start_work():
            return self._handler.refuse_stopping(request)
        answer = None
        try:
            answer = await self._handler.handle(request)
        finally:
            call_at_end(answer, self._finish_work)
        return answer

    def _finish_work(self) -> None:
        self._apply_effects(self._stopping.finish_work(self._clock.now()))

    async def _handle_readiness(self, request: CallerRequest) -> CallerAnswer:
        if not self._components.dialect.is_readiness_check(request):
            return CallerAnswer(404, (), b"")
        is_ready = self.core.is_ready(self._clock.now())
        return CallerAnswer(200 if is_ready else 503, (), b"")

    async def _handle_lookup(self, request: CallerRequest) -> CallerAnswer:
        query = self._components.dialect.read_lookup(request)
        if query is None:
            return CallerAnswer(404, (), b"")
        self.metrics.count("look-ups")
        addresses = self.core.addresses(
            query.region, self._clock.now(), query.data_centre
        )
        lifetime_ms = self.settings.durations.lookup_lifetime_ms
        return self._components.dialect.lookup_answer(addresses, lifetime_ms)

    async def _handle_metrics(self, request: CallerRequest) -> CallerAnswer:
        now = self._clock.now()
        if is_explain_call(request):
            return explain_answer(request, self.core, self.core.selector, now)
        return metrics_answer(self.metrics, self.core, now)


def _caller_settings(address: Address, limits: CallerLimits) -> CallerServerSettings:
    return CallerServerSettings(
        *address,
        all_head_bytes_max=limits.head_bytes_max,
        all_body_bytes_max=limits.body_bytes_max,
        connections_max=limits.connections_max,
        refusals_max=limits.refusals_max,
        requests_max=limits.requests_max,
        unread_bytes_max=limits.unread_bytes_max,
        all_read_ahead_bytes_max=limits.read_ahead_bytes_max,
    )


def _server(
    address: Address,
    limits: CallerLimits,
    handler: Callable[[CallerRequest], Awaitable[CallerAnswer]],
    connections_max: int | None = None,
) -> CallerServer:
    """Return a server for requests that have no body."""
    return CallerServer(
        CallerServerSettings(
            *address,
            body_bytes_max=AUXILIARY_BODY_BYTES_MAX,
            all_head_bytes_max=AUXILIARY_BYTES_MAX,
            all_body_bytes_max=AUXILIARY_BYTES_MAX,
            connections_max=connections_max or limits.auxiliary_connections_max,
            refusals_max=limits.auxiliary_refusals_max,
            unread_bytes_max=AUXILIARY_BYTES_MAX,
            all_read_ahead_bytes_max=AUXILIARY_BYTES_MAX,
        ),
        handler,
    )
