"""Refuses requests before their connections are opened.

An overloaded router decides on a request from its head, which has usually
arrived by the time its connection is accepted. One that is refused needs no
transport, no task and no timer.
"""

import socket
from typing import Any

import httptools
from uvicorn.protocols.http import httptools_impl

from lentilbeam_router.forwarding import request_builder
from lentilbeam_router.forwarding import wire as wire_lib

READ_BYTES = 65536
"""Most bytes of a request that are read before its connection is opened."""
REFUSED = 503


class _HeadReader:
    """Receives the parts of a request from the parser.

    Attributes:
        url: target of the request.
        headers: its headers, their names in lower case.
        body_bytes: size of the body read so far.
        begun: number of requests that were begun.
        ended: number of requests that were read whole.
    """

    def __init__(self):
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_bytes = 0
        self.begun = 0
        self.ended = 0

    def on_message_begin(self) -> None:
        self.begun += 1

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)

    def on_message_complete(self) -> None:
        self.ended += 1


def read_scope(data: bytes) -> tuple[wire_lib.Scope, int] | None:
    """Returns an ASGI scope and the size of the body of a single request.

    Args:
        data: the first bytes of a connection.

    Returns:
        None unless the data is one whole request.
    """
    reader = _HeadReader()
    parser = httptools.HttpRequestParser(reader)
    try:
        parser.feed_data(data)
        url = httptools.parse_url(reader.url) if reader.url else None
    except (
        httptools.HttpParserError,
        httptools.HttpParserUpgrade,
        httptools.HttpParserInvalidURLError,
    ):
        # The server answers it as any other that it can't read.
        return None
    if url is None or reader.begun != 1 or reader.ended != 1:
        return None
    scope = {
        "type": "http",
        "method": parser.get_method().decode("ascii"),
        "headers": reader.headers,
        "raw_path": url.path,
        "query_string": url.query or b"",
    }
    return scope, reader.body_bytes


class EarlyRefusal:
    """Refuses requests on accepted connections that aren't opened yet.

    Attributes:
        codec: decodes and encodes HTTP heads.
        gateway: the router's `Gateway`.
        refused: number of requests refused.
    """

    def __init__(self, codec: wire_lib.Codec, gateway: Any):
        self.codec = codec
        self.gateway = gateway
        self.refused = 0

    def read(
        self, connection: socket.socket, arrived_at: float, is_full: bool
    ) -> bytes | None:
        """Reads a request, and refuses it if the router is too busy for it.

        A refused request was read whole, so closing its connection does not
        reset it before the caller has read the refusal.

        Args:
            connection: an accepted, non-blocking connection.
            arrived_at: when the request arrived, monotonic seconds.
            is_full: whether requests of workspaces that have had their fair
                share are refused.

        Returns:
            The bytes that were read, for the connection to be opened with;
            None if the request was refused and the connection closed.
        """
        try:
            data = connection.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return b""
        except OSError:
            # The caller has reset the connection.
            data = b""
        if not data:
            connection.close()
            return None
        response = self._refuse(data, arrived_at, is_full)
        if response is None:
            return data
        self.refused += 1
        try:
            connection.send(response)
        except OSError:
            # The caller has left.
            self.gateway.metrics.count("request.left")
        connection.close()
        return None

    def _refuse(
        self, data: bytes, arrived_at: float, is_full: bool
    ) -> bytes | None:
        """Returns the response that refuses a request; None if it is served.

        What can't be decoded or is denied is left to the request handler.
        """
        found = read_scope(data)
        if found is None:
            return None
        scope, body_bytes = found
        handler = self.gateway.request_handler
        try:
            head = self.codec.decode_request_head(scope)
            request = request_builder.build(
                self.gateway,
                head,
                body_bytes,
                arrived_at,
                handler.clock.monotonic() - arrived_at,
            )
        except (
            wire_lib.InvalidRequestHeadError,
            request_builder.NoConfigurationError,
            request_builder.DeniedError,
        ):
            return None
        if not handler.is_refused(head, request):
            dispatcher = self.gateway.find_dispatcher(request.pool)
            if not is_full or not dispatcher.has_had_fair_share(
                request.workspace
            ):
                return None
        retry_after_s = handler.refuse(request)
        headers = self.codec.build_own_headers(head.request_id, retry_after_s)
        lines = [name + b": " + value for name, value in headers]
        return (
            httptools_impl.STATUS_LINE[REFUSED]
            + b"\r\n".join(lines)
            + b"\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        )
