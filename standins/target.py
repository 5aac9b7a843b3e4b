"""A stand-in target: ``python -m standins.target --port 0 --name t1 --slots 4``.

Prints one line of JSON with its port, then serves HTTP/1.1. Each request occupies one
of the slots for the service time. ``GET /_target/record`` returns a record of the
requests, ``POST /_target/control`` changes the fields of :class:`Control` given as a
JSON object, and ``GET /_target/load`` returns a load report, which may be false.
"""

import argparse
import asyncio
import json
import time
from typing import NamedTuple

import h11

READ_BYTES = 65_536
MS_PER_S = 1000
NS_PER_MS = 1_000_000
SERVICE_MS_DEFAULT = 5
CANCELLATION_STEP_MS = 20
DEADLINE_FIELD = b"sequoiahook-deadline-ms"


class Control(NamedTuple):
    """Configurable behaviour of the target.

    Attributes:
        service_ms: Service time of one request, in milliseconds.
        shed: Respond 503 with ``sequoiahook-ran: no`` without running the request.
        fail_fast: Respond 500 at once; the request counts as run.
        close_reused: Close a persistent connection when its second request arrives.
        truncate: Send half of the response body, then close.
        close_silently: Run the request, then close without a response.
        draining: Shed requests and close connections.
        refuse_connections: Close the listening socket.
        cold_left: Number of further requests with extra service time.
        cold_ms: Extra service time while cold, in milliseconds.
        accept_cancellation: Stop a request when the client closes the connection.
        accept_deadlines: Shed a request whose sequoiahook-deadline-ms is less than the
            service time.
        load_report: Number of busy slots to report; -1 for the actual number.
    """

    service_ms: int = SERVICE_MS_DEFAULT
    shed: bool = False
    fail_fast: bool = False
    close_reused: bool = False
    truncate: bool = False
    close_silently: bool = False
    draining: bool = False
    refuse_connections: bool = False
    cold_left: int = 0
    cold_ms: int = 200
    accept_cancellation: bool = True
    accept_deadlines: bool = False
    load_report: int = -1


class Run(NamedTuple):
    """A request that ran.

    Attributes:
        request_id: Value of the x-request-id field; empty if there is none.
        organisation: Value of the sequoiahook-organisation field.
        method: HTTP method.
        path: Path and query.
        connection: Number of the connection.
        is_reused: Whether the connection had carried a request before.
        arrived_ms: Time of arrival on the machine's monotonic clock, in milliseconds.
    """

    request_id: str
    organisation: str
    method: str
    path: str
    connection: int
    is_reused: bool
    arrived_ms: int


class StandInTarget:
    """A target with a limited number of slots and a record of its requests.

    Args:
        name: Name of the target, which each response contains.
        slots: Number of requests that run concurrently; others wait.
        control: Initial behaviour.
    """

    def __init__(self, name: str, slots: int, control: Control):
        self.name = name
        self.slots = slots
        self.control = control
        self.runs: list[Run] = []
        self.finished_count = 0
        self.cancelled_count = 0
        self.field_names: set[str] = set()
        self.received = bytearray()
        self.shed_count = 0
        self.pending = 0
        self.running = 0
        self.pending_peak = 0
        self.running_peak = 0
        self._semaphore = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._host = ""
        self._port = 0
        self._connections = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self._host = host
        self._port = self._server.sockets[0].getsockname()[1]
        return self._port

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        while self._writers:
            for writer in list(self._writers):
                writer.transport.abort()
            await asyncio.sleep(0)

    def record(self) -> dict:
        """Return the counts and the requests recorded so far."""
        return {
            "name": self.name,
            "runs": [run._asdict() for run in self.runs],
            "finished_count": self.finished_count,
            "cancelled_count": self.cancelled_count,
            "field_names": sorted(self.field_names),
            "received": self.received.decode("latin-1"),
            "shed_count": self.shed_count,
            "running": self.running,
            "running_peak": self.running_peak,
            "asked_peak": self.pending_peak,
            "connections": self._connections,
        }

    async def set_control(self, changes: dict) -> None:
        """Change the given fields of the behaviour.

        Raises:
            ValueError: If a field is unknown.
        """
        was_refusing = self.control.refuse_connections
        self.control = self.control._replace(**changes)
        is_refusing = self.control.refuse_connections
        if is_refusing and not was_refusing:
            self._server.close()
        if was_refusing and not is_refusing:
            self._server = await asyncio.start_server(
                self._serve, self._host, self._port
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        number = self._connections
        connection = h11.Connection(h11.SERVER)
        is_reused = False
        self._writers.add(writer)
        try:
            while await self._serve_request(
                connection, reader, writer, number, is_reused
            ):
                connection.start_next_cycle()
                is_reused = True
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
        is_reused: bool,
    ) -> bool:
        request, body, data = await self._read_request(connection, reader, is_reused)
        if request is None:
            return False
        path = request.target.decode("latin-1")
        if path.startswith("/_target/"):
            status, response_body = await self._handle_control(path, body)
            return await self._send(connection, writer, status, (), response_body)
        self._record_request(request, data)
        if self._should_shed(request):
            self.shed_count += 1
            fields = ((b"sequoiahook-ran", b"no"),)
            return await self._send(connection, writer, 503, fields, b"shed")
        is_complete = await self._run(
            _make_run(request, path, number, is_reused), reader
        )
        if not is_complete:
            return False
        if self.control.close_silently:
            return False
        return await self._send_result(connection, writer, request, body)

    def _should_shed(self, request: h11.Request) -> bool:
        control = self.control
        if control.shed or control.draining:
            return True
        deadlines = [
            int(value) for name, value in request.headers if name == DEADLINE_FIELD
        ]
        is_late = any(deadline < control.service_ms for deadline in deadlines)
        return control.accept_deadlines and is_late

    async def _read_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        is_reused: bool,
    ) -> tuple:
        request = None
        body = bytearray()
        data = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                chunk = await reader.read(READ_BYTES)
                if chunk and is_reused and self.control.close_reused:
                    return None, b"", b""
                data += chunk
                connection.receive_data(chunk)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return request, bytes(body), bytes(data)
            else:
                return None, b"", b""

    def _record_request(self, request: h11.Request, data: bytes) -> None:
        self.received += data
        self.field_names |= {name.decode("latin-1") for name, _ in request.headers}

    async def _run(self, run: Run, reader: asyncio.StreamReader) -> bool:
        """Run a request in a slot and return whether it was completed."""
        self.pending += 1
        self.pending_peak = max(self.pending_peak, self.pending)
        try:
            async with self._semaphore:
                self.runs.append(run)
                self.running += 1
                self.running_peak = max(self.running_peak, self.running)
                try:
                    is_complete = await self._work(reader)
                finally:
                    self.running -= 1
                self.finished_count += is_complete
                self.cancelled_count += not is_complete
                return is_complete
        finally:
            self.pending -= 1

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        control = self.control
        if control.fail_fast:
            return True
        service_ms = control.service_ms
        if control.cold_left > 0:
            self.control = control._replace(cold_left=control.cold_left - 1)
            service_ms += control.cold_ms
        remaining_ms = service_ms
        while remaining_ms > 0:
            if control.accept_cancellation and reader.at_eof():
                return False
            step_ms = min(remaining_ms, CANCELLATION_STEP_MS)
            await asyncio.sleep(step_ms / MS_PER_S)
            remaining_ms -= step_ms
        return True

    async def _send_result(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body: bytes,
    ) -> bool:
        path = request.target.decode("latin-1")
        is_head = request.method == b"HEAD"
        status = 500 if self.control.fail_fast else 200
        document = {
            "target": self.name,
            "path": path,
            "body_bytes": len(body),
            "request_id": dict(request.headers).get(b"x-request-id", b"").decode(),
        }
        response_body = json.dumps(document).encode()
        return await self._send(connection, writer, status, (), response_body, is_head)

    async def _send(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        fields: tuple,
        body: bytes,
        is_head: bool = False,
    ) -> bool:
        headers = [*fields, (b"content-length", b"%d" % len(body))]
        if self.control.draining:
            headers.append((b"connection", b"close"))
        data = connection.send(h11.Response(status_code=status, headers=headers))
        if not is_head:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        if self.control.truncate and status == 200:
            writer.write(data[: -max(1, len(body) // 2)])
            await writer.drain()
            return False
        writer.write(data)
        await writer.drain()
        return not self.control.draining and connection.our_state is h11.DONE

    async def _handle_control(self, path: str, body: bytes) -> tuple[int, bytes]:
        if path == "/_target/record":
            return 200, json.dumps(self.record()).encode()
        if path == "/_target/load":
            report = self.control.load_report
            busy = self.running if report < 0 else report
            return 200, json.dumps({"busy": busy, "slots": self.slots}).encode()
        if path != "/_target/control":
            return 404, b"{}"
        try:
            await self.set_control(json.loads(body))
        except ValueError as error:
            return 400, json.dumps({"error": str(error)}).encode()
        return 200, json.dumps(self.control._asdict()).encode()


def _make_run(request: h11.Request, path: str, number: int, is_reused: bool) -> Run:
    values_by_name = {name: value.decode("latin-1") for name, value in request.headers}
    return Run(
        request_id=values_by_name.get(b"x-request-id", ""),
        organisation=values_by_name.get(b"sequoiahook-organisation", ""),
        method=request.method.decode("ascii"),
        path=path,
        connection=number,
        is_reused=is_reused,
        arrived_ms=time.monotonic_ns() // NS_PER_MS,
    )


async def _main(arguments: argparse.Namespace) -> None:
    control = Control(service_ms=arguments.service_ms, cold_left=arguments.cold)
    target = StandInTarget(arguments.name, arguments.slots, control)
    port = await target.start(arguments.host, arguments.port)
    print(json.dumps({"name": arguments.name, "port": port}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and serve until interrupted."""
    parser = argparse.ArgumentParser(description="A stand-in target.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="target")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--service-ms", type=int, default=SERVICE_MS_DEFAULT)
    parser.add_argument("--cold", type=int, default=0)
    try:
        asyncio.run(_main(parser.parse_args()))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
