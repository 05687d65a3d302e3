"""A requester that makes one request at a time on a kept channel."""

import asyncio
import dataclasses

import world as world_lib


@dataclasses.dataclass(slots=True)
class Answer:
    """What a requester has received.

    Attributes:
        status: HTTP status; 0 if the channel ended before the head.
        headers: headers, their names in lower case.
        body: body as far as it was received, without the framing.
        is_whole: whether the answer looks complete.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class Channel:
    """A channel to a router.

    Attributes:
        reader: what the router sends.
        writer: what it gets.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        **headers: str,
    ) -> None:
        """Sends a whole request."""
        usual = {
            "Host": world_lib.HOST,
            "Request-Id": request_id,
            "Request-Deadline": "8000",
            "Api-Key": world_lib.API_KEY,
        }
        if body or method == "POST":
            usual["Content-Length"] = str(len(body))
        usual |= {k.replace("_", "-"): v for k, v in headers.items()}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in usual.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self, has_body: bool = True) -> Answer:
        """Receives an answer, or what comes of it before the channel ends."""
        answer = Answer()
        head = await world_lib.read_head(self.reader)
        if head is None:
            return answer
        answer.status = int(head[0].split()[1])
        answer.headers = head[1]
        if not has_body:
            answer.is_whole = True
            return answer
        try:
            await self._read_body(answer)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            answer.body += getattr(error, "partial", b"")
        return answer

    async def _read_body(self, answer: Answer) -> None:
        if "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = await self.reader.readexactly(length)
            answer.is_whole = True
            return
        if answer.headers.get("transfer-encoding") != "chunked":
            answer.body = await self.reader.read()
            answer.is_whole = True
            return
        while True:
            line = await self.reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await self.reader.readexactly(size + 2)
            answer.body += data[:-2]
            if size == 0:
                answer.is_whole = True
                return

    def close(self) -> None:
        """Closes the channel."""
        self.writer.close()


async def connect(address: str) -> Channel:
    """Opens a channel to an address."""
    host, port = address.split(":")
    return Channel(*await asyncio.open_connection(host, int(port)))
