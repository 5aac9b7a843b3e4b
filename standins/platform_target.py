"""A stand-in for a target on the users' platform, which records all its runs."""

import asyncio
import contextlib
import json
import os
import socket
import struct
import sys
import time
from typing import Any, NamedTuple

import h11

from standins.control import ControlError, check_control, read_faults

__all__ = ["PlatformTarget", "TargetFaults", "is_whole_body", "reset_connection"]

READ_BYTES = 65_536
CRASH_EXIT_CODE = 3
STATUS_BY_FAULT = {"fail": 500, "invalid": 600}
CONTROL_NAMES = ("faults",)
PADDING = "."
PADDING_END = "$"


class TargetFaults(NamedTuple):
    """Active fault of the target and duration of its work.

    Attributes:
        how: ``""`` for none, or one of ``shed``, ``fail``, ``lose`` (closes after the
            run without a response), ``invalid`` (responds with a status outside the
            range of HTTP), ``truncate``, ``extra`` (sends a second response),
            ``foreign`` (responds with the id of another request), ``unframed`` (sends
            no content length), ``slow`` (pauses within the body) and ``reset`` (sends
            no content length and resets the connection within the body).
        crash_path: Path of a request that ends the process as soon as it runs; empty
            for none.
        limit: Value of the header that states the target's limit; empty for none.
        rest: Value of the header with which refused requests are asked to stay away;
            empty for none.
        is_leaving: Whether all answers state that the target leaves.
        work_ms: Duration of a run in milliseconds.
        slots: Runs at a time; further requests wait. 0 for no limit.
        load: Value of the header that states the target's load; empty for the true
            one, if there is a limit on the runs at a time.
        body_bytes: Least size of the bodies of responses; they are padded.
        pause_ms: Pause in the middle of a body, in milliseconds.
    """

    how: str = ""
    limit: str = ""
    rest: str = ""
    is_leaving: bool = False
    crash_path: str = ""
    work_ms: int = 2
    slots: int = 0
    load: str = ""
    body_bytes: int = 0
    pause_ms: int = 0


class PlatformTarget:
    """Runs requests and responds with the stamp of the target and the request id.

    Attributes:
        faults: Active fault and duration of the work.
        runs: A record of each run: request id, time on the machine's monotonic clock
            in seconds, method, path, organisation, body length in bytes, and whether
            the request contained a key.
        last_headers: All headers of the last request.
        arrivals: Id and time of each request that arrived, run or not, and whether its
            answer asked for rest.
        leaving_ids: Ids of the requests whose answers stated that the target leaves.

    Args:
        target_id: Id of the target.
        runs_path: File to which each run is appended before it begins, so that the
            record survives a kill; empty for none.
    """

    def __init__(self, target_id: str, runs_path: str = ""):
        self.id = target_id
        self._runs_path = runs_path
        self.faults = TargetFaults()
        self.runs: list[dict[str, Any]] = []
        self.last_headers: dict[str, str] = {}
        self.arrivals: list[tuple[str, float, bool]] = []
        self.leaving_ids: list[str] = []
        self.cancelled = 0
        self._open_count = 0
        self._slots: asyncio.Semaphore | None = None

    async def start(self, host: str, port: int) -> int:
        """Start serving and return the port."""
        server = await asyncio.start_server(self._serve, host, port)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._handle_request(connection, reader, writer):
                connection.start_next_cycle()
        except (ConnectionError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def _handle_request(self, connection, reader, writer) -> bool:
        request, body = await self._read_request(connection, reader)
        if request is None:
            return False
        headers = {
            name.decode(): value.decode("latin-1") for name, value in request.headers
        }
        path = request.target.decode()
        if path == "/control":
            return await self._control(connection, writer, body)
        self.last_headers = headers
        self._record_arrival(headers.get("request-id", ""))
        if headers.get("expect-instance", self.id) != self.id:
            return await self._send_response(connection, writer, headers, 421, b"")
        if self.faults.how == "shed":
            return await self._send_response(
                connection, writer, headers, 503, b"", True
            )
        self._record_run(
            {
                "id": headers.get("request-id", ""),
                "target": self.id,
                "at": time.monotonic(),
                "method": request.method.decode(),
                "path": path,
                "organisation": headers.get("tenant", ""),
                "bytes": len(body),
                "has_key": "key-" in str(headers) + path,
            }
        )
        await self._work()
        if self.faults.crash_path and path == self.faults.crash_path:
            os._exit(CRASH_EXIT_CODE)
        return await self._respond(connection, writer, headers, path)

    async def _work(self) -> None:
        slots = self._slots
        self._open_count += 1
        try:
            async with slots or contextlib.nullcontext():
                await asyncio.sleep(self.faults.work_ms / 1000)
        finally:
            self._open_count -= 1

    def _load(self) -> str:
        if self.faults.load or not self.faults.slots:
            return self.faults.load or "1,0,4"
        running = min(self._open_count, self.faults.slots)
        return f"{running},{self._open_count - running},{self.faults.slots}"

    def _record_arrival(self, request_id: str) -> None:
        at = time.monotonic()
        is_asked = self.faults.how == "shed" and bool(self.faults.rest)
        self.arrivals.append((request_id, at, is_asked))
        if self._runs_path:
            arrival = {
                "id": request_id,
                "target": self.id,
                "at": at,
                "rest": self.faults.rest if is_asked else "",
                "is_leaving": self.faults.is_leaving,
            }
            with open(f"{self._runs_path}.arrivals", "a", encoding="ascii") as file:
                file.write(json.dumps(arrival) + "\n")

    def _record_leaving(self, headers: dict[str, str]) -> None:
        if "request-id" in headers:
            self.leaving_ids.append(headers["request-id"])

    def _record_run(self, run: dict[str, Any]) -> None:
        self.runs.append(run)
        if self._runs_path:
            with open(self._runs_path, "a", encoding="ascii") as file:
                file.write(json.dumps(run) + "\n")

    async def _respond(self, connection, writer, headers, path) -> bool:
        how = self.faults.how
        body = _padded(f"{self.id} ran {path}", self.faults.body_bytes).encode()
        if how == "lose":
            return False
        if how in STATUS_BY_FAULT:
            status = STATUS_BY_FAULT[how]
            return await self._send_response(connection, writer, headers, status, body)
        if how in ("", "extra", "foreign"):
            if how == "foreign":
                headers = headers | {"request-id": "another"}
            is_reusable = await self._send_response(
                connection, writer, headers, 200, body
            )
            if how == "extra":
                writer.write(self._response_head(headers, len(body)) + body)
                await writer.drain()
            return is_reusable
        await self._send_halves(writer, headers, body)
        return False

    async def _send_halves(self, writer, headers, body: bytes) -> None:
        """Send an answer with a pause in the middle, or only its first half."""
        how = self.faults.how
        length = None if how in ("unframed", "reset") else len(body)
        if length is None:
            # The end of the connection ends the answer; that of the process must not.
            writer.transport.set_write_buffer_limits(0)
            _set_reset_on_close(writer, is_on=True)
        head = self._response_head(headers, length)
        writer.write(head + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(self.faults.pause_ms / 1000)
        if how == "reset":
            await asyncio.sleep(0.05)
            reset_connection(writer)
        elif how in ("unframed", "slow"):
            writer.write(body[len(body) // 2 :])
            await writer.drain()
            _set_reset_on_close(writer, is_on=False)

    async def _read_request(self, connection, reader):
        head, body = None, bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return head, bytes(body)
            else:
                return None, b""

    async def _send_response(
        self, connection, writer, headers, status, body, is_shed=False
    ) -> bool:
        response_headers = [
            ("request-id", headers.get("request-id", "")),
            ("server-load", self._load()),
            ("content-length", str(len(body))),
        ]
        if self.faults.limit:
            response_headers.append(("server-limit", self.faults.limit))
        if self.faults.is_leaving:
            response_headers.append(("server-leaving", "1"))
            self._record_leaving(headers)
        if is_shed:
            response_headers.append(("not-executed", "1"))
            if self.faults.rest:
                response_headers.append(("retry-after", self.faults.rest))
        else:
            response_headers.append(("server-stamp", f"stamp-{self.id}"))
        if status == 421:
            response_headers.append(("instance-id", self.id))
        writer.write(
            connection.send(h11.Response(status_code=status, headers=response_headers))
        )
        for start in range(0, len(body), READ_BYTES):
            part = body[start : start + READ_BYTES]
            writer.write(connection.send(h11.Data(data=part)))
            await writer.drain()
        writer.write(connection.send(h11.EndOfMessage()))
        await writer.drain()
        return connection.our_state is h11.DONE

    def _response_head(self, headers: dict[str, str], length: int | None) -> bytes:
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {headers.get('request-id', '')}",
            f"Server-Stamp: stamp-{self.id}",
        ]
        if self.faults.is_leaving:
            lines.append("Server-Leaving: 1")
            self._record_leaving(headers)
        if length is None:
            lines.append("Connection: close")
        else:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _control(self, connection, writer, body: bytes) -> bool:
        try:
            status, document = 200, self._apply_control(body)
        except ValueError as error:
            status, document = 400, {"error": f"control call: {error}"}
        content = json.dumps(document).encode()
        return await self._send_response(connection, writer, {}, status, content)

    def _apply_control(self, body: bytes) -> dict[str, Any]:
        document = json.loads(body) if body else {}
        check_control(document, CONTROL_NAMES)
        if "faults" in document:
            faults = read_faults(TargetFaults, document["faults"])
            if not isinstance(faults.slots, int) or faults.slots < 0:
                raise ControlError("faults: slots is not a number of slots")
            self.faults = faults
            self._slots = asyncio.Semaphore(faults.slots) if faults.slots else None
        return {
            "runs": self.runs,
            "headers": self.last_headers,
            "arrivals": self.arrivals,
            "leaving_ids": self.leaving_ids,
        }


def is_whole_body(body: str, text: str) -> bool:
    """Return whether a body is the whole text of a target, perhaps padded."""
    is_padded = body.startswith(text + PADDING) and body.endswith(PADDING_END)
    return body == text or is_padded


def _padded(text: str, byte_count: int) -> str:
    if byte_count <= len(text):
        return text
    return text.ljust(byte_count - len(PADDING_END), PADDING) + PADDING_END


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of a clean end."""
    _set_reset_on_close(writer, is_on=True)
    writer.transport.abort()


def _set_reset_on_close(writer: asyncio.StreamWriter, *, is_on: bool) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", is_on, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _main() -> None:
    target = PlatformTarget(sys.argv[1], *sys.argv[3:4])
    port = await target.start("127.0.0.1", int(sys.argv[2]))
    print(json.dumps({"port": port}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main())
