"""Authentication and encryption between nodes by CURVE keys."""

from __future__ import annotations

import dataclasses
import typing

import zmq
from zmq.auth import asyncio as zmq_auth


ZAP_DOMAIN = 'jasminebeam'


@dataclasses.dataclass(frozen=True, slots=True)
class ClientKeys:
    """Keys for outgoing connections; all are Z85 strings.

    Parameters
    ----------
    public_key, secret_key : str
        Key pair of this node.
    server_key : str
        Public key that every node presents as a server.
    """

    public_key: str
    secret_key: str
    server_key: str

    def apply(self, socket: zmq.Socket) -> None:
        """Set the keys on a socket before it connects."""
        socket.curve_publickey = self.public_key.encode()
        socket.curve_secretkey = self.secret_key.encode()
        socket.curve_serverkey = self.server_key.encode()


class _AllowedKeys:
    def __init__(
        self,
        allowed_keys: frozenset[str],
        on_refused: typing.Callable[[str], None],
    ) -> None:
        self._allowed_keys = allowed_keys
        self._on_refused = on_refused

    def callback(self, domain: str, key: bytes) -> bool:
        """Return True if a public key may connect."""
        text = key.decode()
        if text in self._allowed_keys:
            return True
        self._on_refused(text)
        return False


class Authenticator:
    """Accepts only connections with an allowed public key."""

    def __init__(
        self,
        context: zmq.Context,
        allowed_keys: frozenset[str],
        on_refused: typing.Callable[[str], None],
    ) -> None:
        self._authenticator = zmq_auth.AsyncioAuthenticator(context)
        self._provider = _AllowedKeys(allowed_keys, on_refused)

    def start(self) -> None:
        """Start to answer ZeroMQ's authentication requests."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN, credentials_provider=self._provider
        )

    def stop(self) -> None:
        """Stop answering authentication requests."""
        self._authenticator.stop()


def protect_server(socket: zmq.Socket, secret_key: str) -> None:
    """Require CURVE on a socket before it is bound."""
    socket.curve_secretkey = secret_key.encode()
    socket.curve_server = True
    socket.zap_domain = ZAP_DOMAIN.encode()
