"""Daemon of one instance: runs the sockets and tasks around the decision core."""

import asyncio
import contextlib
import itertools
import json
import secrets
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any
from urllib.parse import parse_qs

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerRequest,
    CallerServer,
    CallerServerSettings,
    refusal_answer,
)
from sequoiahook.daemons.core_settings import core_settings
from sequoiahook.daemons.links import (
    LinkEvent,
    Links,
    LinksSettings,
    PeerDown,
    PeerUp,
    Received,
    SendFailed,
)
from sequoiahook.daemons.operator_http import OperatorHandler
from sequoiahook.daemons.platform_calls import execute
from sequoiahook.daemons.platform_client import (
    InstanceEntry,
    PlatformClient,
    PlatformClientSettings,
)
from sequoiahook.daemons.settings import InstanceSettings
from sequoiahook.daemons.target_http import (
    TargetClient,
    TargetClientSettings,
    TargetExchange,
    TargetRequest,
)
from sequoiahook.decisions.exchange.effects import AbortTarget, Answer, Refusal, Write
from sequoiahook.decisions.instance import InstanceCore
from sequoiahook.decisions.instance.effects import (
    CallPlatform,
    CloseConnection,
    EmitSpan,
    LogEvent,
    OperatorReply,
    ReceivedRequest,
    SetPeerLinks,
    Transmit,
)
from sequoiahook.decisions.stopping import (
    CloseIdleConnections,
    Exit,
    ReportOverdue,
)
from sequoiahook.errors import CheckError, PlatformError
from sequoiahook.messages.membership import Member
from sequoiahook.messages.requests import NOT_RUN, MessageId
from sequoiahook.metrics import Metrics
from sequoiahook.wire.fields import target_fields
from sequoiahook.world.instance import Address, Instance

__all__ = ["InstanceDaemon"]

EXIT_FAILED = 1
INCARNATION_BITS = 53
LIST_POLL_MS = 1_000
LIST_WATCH_MS = 20_000
PLATFORM_CONNECTIONS_MAX = 8
TICK_BATCH_MS = 5
"""Inputs that arrive within this time share one timer check."""

LOOKUP_PATH = b"/sequoiahook/lookup"
OPERATOR_BODY_BYTES_MAX = 16 * 1024 * 1024

log = logbook.Logger(__name__)


class InstanceDaemon:
    """Runs one instance until a graceful stop is complete.

    Args:
        settings: Settings of the instance.
        clock: Clock that all decisions use.
    """

    def __init__(self, settings: InstanceSettings, clock: Clock):
        self.settings = settings
        self._clock = clock
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._core: InstanceCore | None = None
        self._numbers = itertools.count(1)
        self._callers = CallerServer(
            CallerServerSettings(
                *settings.caller_address, body_bytes_max=settings.body_bytes_max
            ),
            self._handle_caller,
        )
        self._operators = CallerServer(
            CallerServerSettings(
                *settings.operator_address, body_bytes_max=OPERATOR_BODY_BYTES_MAX
            ),
            OperatorHandler(settings.operator_token_digest, self),
        )
        self._links = Links(
            LinksSettings(
                settings.name,
                self._incarnation,
                settings.fleet_secret,
                settings.link_address,
            ),
            self._on_link_event,
        )
        self._targets = TargetClient(
            TargetClientSettings(answer_bytes_max=settings.body_bytes_max)
        )
        self._platform = PlatformClient(
            PlatformClientSettings(
                *settings.platform.address,
                settings.name,
                settings.platform.token,
                connections_max=PLATFORM_CONNECTIONS_MAX,
            )
        )
        self._answers_by_number: dict[int, asyncio.Future] = {}
        self._replies_by_ticket: dict[int, asyncio.Future] = {}
        self._exchanges_by_id: dict[MessageId, TargetExchange] = {}
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self._exited: asyncio.Future[int] | None = None
        self._executors_by_effect_type: dict[type, Callable[[Any], None]] = {
            AbortTarget: self._abort_target,
            Answer: self._answer,
            CallPlatform: lambda e: self._start_task(self._call_platform(e)),
            CloseConnection: lambda e: self._callers.close_connection(e.connection_id),
            CloseIdleConnections: lambda e: self._start_task(self._close_callers()),
            SetPeerLinks: lambda e: self._links.set_peers(e.address_by_peer),
            EmitSpan: lambda e: log.info("span", extra=e.span._asdict()),
            Exit: lambda e: self._exited.set_result(e.code),
            LogEvent: lambda e: log.info(e.event, extra=e.fields),
            OperatorReply: self._reply,
            Refusal: self._refuse,
            ReportOverdue: lambda e: log.warning("overdue", extra=e._asdict()),
            Transmit: lambda e: self._links.send(e.peer, e.envelope),
            Write: self._start_exchange,
        }

    async def run(self) -> int:
        """Serve until a graceful stop is complete.

        Returns:
            The exit code.

        Raises:
            OSError: If an address cannot be bound.
        """
        self._exited = asyncio.get_running_loop().create_future()
        await self._start()
        timer_task = asyncio.create_task(self._run_timer())
        list_task = asyncio.create_task(self._watch_instance_list())
        self._exited.add_done_callback(lambda _: timer_task.cancel())
        try:
            await asyncio.wait(
                {timer_task, list_task}, return_when=asyncio.FIRST_COMPLETED
            )
            return self._exit_code(timer_task, list_task)
        finally:
            for task in (timer_task, list_task, *self._tasks):
                task.cancel()
            await asyncio.gather(
                timer_task, list_task, *self._tasks, return_exceptions=True
            )
            await self._operators.close_gracefully()
            await self._links.stop()
            self._targets.close()
            self._platform.close()

    def _exit_code(self, *tasks: asyncio.Task) -> int:
        """Return the exit code of a graceful stop, or EXIT_FAILED if a task failed."""
        if self._exited.done():
            return self._exited.result()
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                log.critical("task failed", exc_info=_exc_info(task.exception()))
        return EXIT_FAILED

    def stop(self) -> dict[str, Any]:
        """Start a graceful stop; a second call shortens its waits.

        Returns:
            The name of the instance.
        """
        self._process_input(lambda now: self._core.stop(now))
        return {"name": self.settings.name}

    def configuration(self) -> dict[str, Any]:
        """Return the number and document of the configuration in force."""
        return self._core.configuration_document

    def metrics(self) -> Metrics:
        """Return counters and latencies."""
        return self._core.metrics

    async def patch(self, document: Any) -> dict[str, Any]:
        """Apply a patch and return its outcome."""
        return await self._request_from_core(
            lambda ticket, now: self._core.operator_patch(ticket, document, now)
        )

    async def outcome(self, patch_id: str) -> dict[str, Any]:
        """Return the outcome of a patch."""
        return await self._request_from_core(
            lambda ticket, now: self._core.operator_outcome(ticket, patch_id, now)
        )

    async def status(self) -> dict[str, Any]:
        """Return the configuration number in force at each instance."""
        return await self._request_from_core(self._core_status)

    def addresses(self) -> dict[str, Any]:
        """Return the addresses that the running instance listens on."""
        return {
            "name": self.settings.name,
            "caller_address": self._core.me.caller_address._asdict(),
            "link_address": self._core.me.link_address._asdict(),
            "operator_address": Address(
                self.settings.operator_address.host, self._operators.port
            )._asdict(),
        }

    async def _start(self) -> None:
        settings = self.settings
        link_address = await self._links.start()
        await self._callers.start()
        await self._operators.start()
        me = Instance(
            settings.name,
            self._incarnation,
            settings.data_centre,
            Address(settings.caller_address.host, self._callers.port),
            link_address,
        )
        now = self._clock.now()
        self._core = InstanceCore(
            core_settings(settings), me, Random(secrets.randbits(64)), now
        )
        self._process_input(lambda now: self._core.tick(now))
        print(json.dumps(self.addresses()), flush=True)

    def _process_input(self, decide: Callable[[int], list]) -> None:
        """Pass an input to the core and execute the effects that it returns."""
        for effect in decide(self._clock.now()):
            self._executors_by_effect_type[type(effect)](effect)
        self._wake.set()

    async def _run_timer(self) -> None:
        due_at = self._clock.now()
        while True:
            now = self._clock.now()
            if now >= due_at:
                self._process_input(lambda now: self._core.tick(now))
                due_at = self._core.next_wake(self._clock.now())
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(1, due_at - now) / MS_PER_S):
                    await self._wake.wait()
            await asyncio.sleep(TICK_BATCH_MS / MS_PER_S)
            due_at = min(due_at, self._core.next_wake(self._clock.now()))

    async def _watch_instance_list(self) -> None:
        version: int | None = None
        while True:
            if not self._core.wants_platform_list(self._clock.now()):
                version = None
                await asyncio.sleep(LIST_POLL_MS / MS_PER_S)
                continue
            try:
                instance_list = await self._platform.instances(version, LIST_WATCH_MS)
            except (PlatformError, CheckError) as error:
                log.warning(
                    "reading the instance list failed", extra={"error": str(error)}
                )
                await asyncio.sleep(LIST_POLL_MS / MS_PER_S)
                continue
            if instance_list is not None:
                version = instance_list.version
                members = [_member(entry) for entry in instance_list.instances]
                self._process_input(
                    lambda now, members=members: self._core.platform_list(members, now)
                )

    def _on_link_event(self, event: LinkEvent) -> None:
        core = self._core
        if isinstance(event, Received):
            self._process_input(
                lambda now: core.receive_envelope(event.peer, event.envelope, now)
            )
        elif isinstance(event, PeerUp):
            self._process_input(lambda now: core.peer_up(event.name, now))
        elif isinstance(event, PeerDown):
            self._process_input(lambda now: core.peer_down(event.name, now))
        elif isinstance(event, SendFailed):
            loop = asyncio.get_running_loop()
            loop.call_soon(
                self._process_input, lambda now: core.send_failed(event.envelope, now)
            )

    async def _handle_caller(self, request: CallerRequest) -> CallerAnswer:
        path, _, query = request.target_path.partition(b"?")
        if path == LOOKUP_PATH:
            return self._look_up(request.peer_host, query.decode("latin-1"))
        number = next(self._numbers)
        received_request = ReceivedRequest(number, *request)
        answer_future = asyncio.get_running_loop().create_future()
        self._answers_by_number[number] = answer_future
        try:
            self._process_input(
                lambda now: self._core.receive_request(received_request, now)
            )
            return await answer_future
        except asyncio.CancelledError:
            self._process_input(lambda now: self._core.caller_gone(number, now))
            raise
        finally:
            del self._answers_by_number[number]

    def _look_up(self, host: str, query: str) -> CallerAnswer:
        fields = parse_qs(query)
        service = fields.get("service", [""])[0]
        organisation = fields.get("organisation", [""])[0]
        try:
            answer = self._core.look_up(host, organisation, service, self._clock.now())
        except ValueError as error:
            return refusal_answer(400, str(error), NOT_RUN)
        document = {
            "instances": [address._asdict() for address in answer.instances],
            "lifetime_ms": answer.lifetime_ms,
        }
        headers = ((b"content-type", b"application/json"),)
        return CallerAnswer(200, headers, json.dumps(document).encode())

    def _answer(self, effect: Answer) -> None:
        self._resolve(
            self._answers_by_number.get(effect.number),
            CallerAnswer(effect.status, effect.headers, effect.body),
        )

    def _refuse(self, effect: Refusal) -> None:
        self._resolve(
            self._answers_by_number.get(effect.number),
            refusal_answer(
                effect.status, effect.cause, effect.ran, effect.retry_after_ms
            ),
        )

    def _reply(self, effect: OperatorReply) -> None:
        self._resolve(self._replies_by_ticket.get(effect.ticket), effect.document)

    @staticmethod
    def _resolve(future: asyncio.Future | None, value: Any) -> None:
        if future is not None and not future.done():
            future.set_result(value)

    async def _request_from_core(
        self, decide: Callable[[int, int], list]
    ) -> dict[str, Any]:
        ticket = next(self._numbers)
        reply_future = asyncio.get_running_loop().create_future()
        self._replies_by_ticket[ticket] = reply_future
        try:
            self._process_input(lambda now: decide(ticket, now))
            return await reply_future
        finally:
            del self._replies_by_ticket[ticket]

    def _core_status(self, ticket: int, now: int) -> list:
        return self._core.operator_status(ticket, now)

    async def _call_platform(self, effect: CallPlatform) -> None:
        answer = await execute(self._platform, effect.call)
        self._process_input(
            lambda now: self._core.platform_answer(effect.ticket, answer, now)
        )

    async def _close_callers(self) -> None:
        await self._callers.close_gracefully()
        self._process_input(lambda now: self._core.connections_closed(now))

    def _start_exchange(self, effect: Write) -> None:
        exchange = self._targets.open(self._target_request(effect))
        self._exchanges_by_id[effect.request_id] = exchange
        self._start_task(self._run_exchange(effect.request_id, exchange))

    def _abort_target(self, effect: AbortTarget) -> None:
        exchange = self._exchanges_by_id.get(effect.request_id)
        if exchange is not None:
            exchange.abort()

    async def _run_exchange(
        self, request_id: MessageId, exchange: TargetExchange
    ) -> None:
        """Run an exchange and report its result to the core exactly once."""
        result = await exchange.run(
            lambda: self._core.may_write(request_id, self._clock.now())
        )
        del self._exchanges_by_id[request_id]
        self._process_input(
            lambda now: self._core.target_result(request_id, result, now)
        )

    def _target_request(self, effect: Write) -> TargetRequest:
        target = self._core.configuration.targets_by_name[effect.target_name]
        return TargetRequest(
            Address(target.host, target.port),
            effect.method,
            effect.target_path,
            target_fields(
                effect.headers,
                effect.organisation,
                effect.remaining_ms,
                effect.traceparent,
            ),
            effect.body,
            effect.remaining_ms,
            effect.may_reuse,
        )

    def _start_task(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=_exc_info(task.exception()))


def _exc_info(error: BaseException) -> tuple:
    return type(error), error, error.__traceback__


def _member(entry: InstanceEntry) -> Member:
    instance = Instance(
        entry.name, 0, entry.data_centre, entry.caller_address, entry.link_address
    )
    return Member(instance, entry.state)
