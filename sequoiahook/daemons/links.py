"""Links between instances: authenticated WebSockets that carry CBOR envelopes.

Each link has a reading and a writing task, which exchange events and a bounded queue
with the rest of the process. :class:`SendFailed` reports only envelopes that were
certainly not written; those that may have been written are not reported.
"""

import asyncio
import functools
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import logbook
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.allocator import RECEIVE_BYTES_MAX
from sequoiahook.daemons.link_server import AcceptedLink, UnauthenticatedLinks
from sequoiahook.daemons.listening import ACCEPTED_AT_ONCE_MAX, extend_backlog
from sequoiahook.errors import CodecError, LinkError, UnreadableMessageError
from sequoiahook.messages.base import Envelope
from sequoiahook.wire.codec import (
    ENVELOPE_BYTES_MAX,
    decode_envelope,
    encode_envelope,
)
from sequoiahook.wire.handshake import (
    Challenge,
    Hello,
    Proof,
    Welcome,
    compute_proof,
    is_valid_proof,
    new_nonce,
)
from sequoiahook.world.instance import Address

__all__ = [
    "LinkEvent",
    "Links",
    "LinksSettings",
    "PeerDown",
    "PeerUp",
    "Received",
    "SendFailed",
]

DIAL_RETRY_MS_MIN = 50
DIAL_RETRY_MS_MAX = 1_000
HANDSHAKE_BYTES_MAX = 4096
HANDSHAKE_TIMEOUT_MS = 2_000
CLOSE_TIMEOUT_MS = 150
"""Time for the closing handshake; a frozen peer must not delay the exit."""

UNAUTHENTICATED_MAX = 64
"""Default limit on accepted links whose peers have not authenticated themselves."""

OUTBOX_ENVELOPES_MAX = 4_096
RECEIVED_FRAMES_MAX = 4
"""Frames that wait to be read on a link; one may be as large as an envelope."""

UNREADABLE_LOGGED_MAX = 10
"""Number of different messages for each link that are logged as not readable."""

LOGGED_CHARACTERS_MAX = 200

log = logbook.Logger(__name__)


class LinksSettings(NamedTuple):
    """Identity and listening address of an instance.

    Attributes:
        name: Name of this instance.
        incarnation: Incarnation of this instance.
        fleet_secret: Secret that all instances share.
        address: Address to accept links on; port 0 selects a free port.
        unauthenticated_max: Largest number of accepted links whose peers have not
            authenticated themselves.
    """

    name: str
    incarnation: int
    fleet_secret: str
    address: Address
    unauthenticated_max: int = UNAUTHENTICATED_MAX


class PeerUp(NamedTuple):
    """The first link to a peer is established."""

    name: str
    incarnation: int


class PeerDown(NamedTuple):
    """The last link to a peer is closed; sent envelopes may or may not have arrived."""

    name: str


class Received(NamedTuple):
    """An envelope was received from a peer.

    Attributes:
        peer: Name of the instance at the other end of the link.
        envelope: The envelope.
    """

    peer: str
    envelope: Envelope


class SendFailed(NamedTuple):
    """An envelope was certainly not written to any link."""

    peer: str
    envelope: Envelope


LinkEvent = PeerUp | PeerDown | Received | SendFailed


class _Link:
    """One authenticated connection to a peer."""

    def __init__(self, connection: Connection, name: str, incarnation: int):
        connection.transport.max_size = RECEIVE_BYTES_MAX
        self.connection = connection
        self.name = name
        self.incarnation = incarnation
        self.outbox: deque[Envelope] = deque()
        self.wake = asyncio.Event()
        self.unreadable: set[str] = set()
        self.received_at = asyncio.get_running_loop().time()


class Links:
    """All links of one instance.

    Args:
        settings: Identity and listening address of this instance.
        emit_event: Called with each event, from the event loop; it must not block.
    """

    def __init__(
        self, settings: LinksSettings, emit_event: Callable[[LinkEvent], None]
    ):
        self.settings = settings
        self._emit_event = emit_event
        self._links_by_peer: dict[str, list[_Link]] = {}
        self._dial_tasks_by_peer: dict[str, asyncio.Task] = {}
        self._address_by_peer: dict[str, Address] = {}
        self._unauthenticated = UnauthenticatedLinks(settings.unauthenticated_max)
        self._server: Server | None = None

    async def start(self) -> Address:
        """Start accepting links and return the address in use.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._server = await serve(
            self._accept,
            self.settings.address.host,
            self.settings.address.port,
            compression=None,
            max_size=ENVELOPE_BYTES_MAX,
            max_queue=RECEIVED_FRAMES_MAX,
            ping_interval=None,
            open_timeout=HANDSHAKE_TIMEOUT_MS / MS_PER_S,
            close_timeout=CLOSE_TIMEOUT_MS / MS_PER_S,
            server_header=None,
            create_connection=functools.partial(
                AcceptedLink, unauthenticated=self._unauthenticated
            ),
            backlog=ACCEPTED_AT_ONCE_MAX,
        )
        extend_backlog(self._server.sockets)
        port = next(iter(self._server.sockets)).getsockname()[1]
        return Address(self.settings.address.host, port)

    async def stop(self) -> None:
        """Close every link and stop accepting."""
        dial_tasks = list(self._dial_tasks_by_peer.values())
        self._dial_tasks_by_peer.clear()
        for dial_task in dial_tasks:
            dial_task.cancel()
        await asyncio.gather(*dial_tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            # Their handshakes would be waited for until they time out.
            self._unauthenticated.close_all()
            await self._server.wait_closed()

    def set_peers(self, address_by_peer: dict[str, Address]) -> None:
        """Maintain a link to each given peer; dialled links to others are closed."""
        self._address_by_peer = dict(address_by_peer)
        for name, dial_task in list(self._dial_tasks_by_peer.items()):
            if name not in address_by_peer:
                dial_task.cancel()
                del self._dial_tasks_by_peer[name]
        for name in address_by_peer:
            if name not in self._dial_tasks_by_peer and name != self.settings.name:
                self._dial_tasks_by_peer[name] = asyncio.create_task(
                    self._maintain_link(name)
                )

    def send(self, peer: str, envelope: Envelope) -> None:
        """Queue an envelope on the link to a peer.

        Without a link, or with a full queue, :class:`SendFailed` is emitted at once.
        """
        links = self._links_by_peer.get(peer)
        if not links or len(links[-1].outbox) >= OUTBOX_ENVELOPES_MAX:
            self._emit_event(SendFailed(peer, envelope))
            return
        links[-1].outbox.append(envelope)
        links[-1].wake.set()

    def is_connected(self, peer: str) -> bool:
        """Return whether there is a link to a peer."""
        return bool(self._links_by_peer.get(peer))

    def drop(self, peer: str, *, silent_ms: int = 0) -> None:
        """Drop the links to a peer that does not answer.

        There is no closing handshake, which would have to be waited for. A link that is
        wanted is dialled again.

        Args:
            peer: Name of the peer.
            silent_ms: Only links on which nothing has arrived for so long are dropped,
                in milliseconds.
        """
        now = asyncio.get_running_loop().time()
        for link in list(self._links_by_peer.get(peer, ())):
            quiet_ms = round((now - link.received_at) * MS_PER_S)
            if quiet_ms >= silent_ms:
                fields = {"peer": peer, "silent_ms": quiet_ms}
                log.info("link dropped", extra=fields)
                link.connection.transport.abort()
                self._remove_link(link)

    async def _maintain_link(self, name: str) -> None:
        delay_ms = DIAL_RETRY_MS_MIN
        while True:
            if not self.is_connected(name) and await self._dial_once(name):
                delay_ms = DIAL_RETRY_MS_MIN
            jitter = random.uniform(0.5, 1.0)
            await asyncio.sleep(jitter * delay_ms / MS_PER_S)
            delay_ms = min(2 * delay_ms, DIAL_RETRY_MS_MAX)

    async def _dial_once(self, name: str) -> bool:
        address = self._address_by_peer[name]
        try:
            async with connect(
                f"ws://{address}/",
                compression=None,
                max_size=ENVELOPE_BYTES_MAX,
                max_queue=RECEIVED_FRAMES_MAX,
                ping_interval=None,
                open_timeout=HANDSHAKE_TIMEOUT_MS / MS_PER_S,
                close_timeout=CLOSE_TIMEOUT_MS / MS_PER_S,
                proxy=None,
                user_agent_header=None,
            ) as connection:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / MS_PER_S):
                    link = await self._authenticate_acceptor(connection)
                if link.name != name:
                    raise LinkError(f"{address} is {link.name}, not {name}")
                await self._run(link)
                return True
        except (OSError, TimeoutError, WebSocketException, LinkError) as error:
            log.debug("dial failed", extra={"peer": name, "error": str(error)})
            return False

    async def _accept(self, connection: AcceptedLink) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / MS_PER_S):
                link = await self._authenticate_dialler(connection)
        except (TimeoutError, ConnectionClosed, CodecError, LinkError) as error:
            log.warning("link handshake failed", extra={"error": str(error)})
            await connection.close(1008)
            return
        connection.trust()
        await self._run(link)

    async def _authenticate_dialler(self, connection: Connection) -> _Link:
        hello = await self._receive_body(connection, Hello)
        nonces = (hello.nonce, new_nonce())
        await self._send_body(connection, Challenge(nonces[1]))
        proof = await self._receive_body(connection, Proof)
        peer_identity = f"{hello.name}/{hello.incarnation}"
        secret = self.settings.fleet_secret
        if not is_valid_proof(proof.digest, secret, "dial", nonces, peer_identity):
            raise LinkError(f"wrong handshake proof from {connection.remote_address}")
        own_identity = f"{self.settings.name}/{self.settings.incarnation}"
        digest = compute_proof(secret, "accept", nonces, own_identity)
        welcome = Welcome(self.settings.name, self.settings.incarnation, digest)
        await self._send_body(connection, welcome)
        return _Link(connection, hello.name, hello.incarnation)

    async def _authenticate_acceptor(self, connection: Connection) -> _Link:
        own_identity = f"{self.settings.name}/{self.settings.incarnation}"
        hello = Hello(self.settings.name, self.settings.incarnation, new_nonce())
        await self._send_body(connection, hello)
        challenge = await self._receive_body(connection, Challenge)
        nonces = (hello.nonce, challenge.nonce)
        secret = self.settings.fleet_secret
        await self._send_body(
            connection, Proof(compute_proof(secret, "dial", nonces, own_identity))
        )
        welcome = await self._receive_body(connection, Welcome)
        peer_identity = f"{welcome.name}/{welcome.incarnation}"
        if not is_valid_proof(welcome.digest, secret, "accept", nonces, peer_identity):
            raise LinkError(f"wrong handshake proof from {connection.remote_address}")
        return _Link(connection, welcome.name, welcome.incarnation)

    async def _send_body(self, connection: Connection, body: tuple) -> None:
        envelope = Envelope(self.settings.name, self.settings.incarnation, 0, "", body)
        await connection.send(encode_envelope(envelope))

    async def _receive_body(self, connection: Connection, expected: type) -> tuple:
        data = await connection.recv(decode=False)
        if len(data) > HANDSHAKE_BYTES_MAX:
            raise LinkError("handshake frame too large")
        body = decode_envelope(data).body
        if not isinstance(body, expected):
            raise LinkError(f"expected a {expected.__name__} message in the handshake")
        return body

    async def _run(self, link: _Link) -> None:
        links = self._links_by_peer.setdefault(link.name, [])
        links.append(link)
        if len(links) == 1:
            self._emit_event(PeerUp(link.name, link.incarnation))
        write_task = asyncio.create_task(self._write(link))
        try:
            await self._read(link)
        except ConnectionClosed:
            pass
        finally:
            write_task.cancel()
            await asyncio.gather(write_task, return_exceptions=True)
            self._remove_link(link)

    def _remove_link(self, link: _Link) -> None:
        links = self._links_by_peer.get(link.name, [])
        if link not in links:
            return  # It was dropped before its connection ended.
        links.remove(link)
        for envelope in link.outbox:
            self._emit_event(SendFailed(link.name, envelope))
        if not links:
            del self._links_by_peer[link.name]
            self._emit_event(PeerDown(link.name))

    async def _write(self, link: _Link) -> None:
        while True:
            while not link.outbox:
                link.wake.clear()
                await link.wake.wait()
            envelope = link.outbox.popleft()
            try:
                data = encode_envelope(envelope)
            except CodecError as error:
                log.error("encoding an envelope failed", extra={"error": str(error)})
                self._emit_event(SendFailed(link.name, envelope))
                continue
            await link.connection.send(data)

    async def _read(self, link: _Link) -> None:
        async for frame in link.connection:
            link.received_at = asyncio.get_running_loop().time()
            try:
                envelope = decode_envelope(_binary(frame))
            except UnreadableMessageError as error:
                # The peer may run a newer version; its other messages are valid.
                self._log_unreadable(link, error)
                continue
            except CodecError as error:
                log.warning(
                    "malformed frame on a link",
                    extra={"peer": link.name, "error": str(error)},
                )
                await link.connection.close(1007)
                return
            self._emit_event(Received(link.name, envelope))

    def _log_unreadable(self, link: _Link, error: UnreadableMessageError) -> None:
        text = str(error)[:LOGGED_CHARACTERS_MAX]
        if text not in link.unreadable and len(link.unreadable) < UNREADABLE_LOGGED_MAX:
            link.unreadable.add(text)
            log.warning(
                "message of a peer ignored", extra={"peer": link.name, "error": text}
            )


def _binary(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise CodecError("text frame instead of a binary frame")
    return frame
