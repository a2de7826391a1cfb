"""HTTP server that repeats a response late: where the next one is expected on the connection."""

from __future__ import annotations

import asyncio
import re

from gateway_case import HOST, encode_json, full_response


class RepeatingServer:
    """Responds to each path with the next of its scripted responses.

    A response is a status, headers and a body. While `repeats` is set, each response is sent again
    before the next one on its connection. Headers in `echoed` are copied from the request. A body
    may be a function of the request's body.
    """

    def __init__(self, echoed=()) -> None:
        self.responses: dict[str, list] = {}
        self.echoed = echoed
        self.repeats = True
        self.connections = 0
        self.paths: list[str] = []
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    def script(self, path: str, *bodies: object, status: int = 200, **headers: str) -> None:
        """Adds responses with JSON bodies."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        self.responses.setdefault(path, []).extend((status, names, body) for body in bodies)

    async def _serve(self, reader, writer):
        self.connections += 1
        earlier = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"content-length: (\d+)", head, re.I)
                sent = await reader.readexactly(int(length.group(1)) if length else 0)
                self.paths.append(head.split(" ")[1])
                path = self.paths[-1].partition("?")[0]
                status, headers, body = self.responses[path].pop(0)
                for name in self.echoed:
                    if value := re.search(rf"^{name}: ([^\r]*)", head, re.I | re.M):
                        headers[name] = value.group(1)
                content = body(sent) if callable(body) else body
                response = full_response(status, headers, encode_json(content))
                writer.write((earlier if self.repeats else b"") + response)
                earlier = response
        except (OSError, EOFError):
            pass
        finally:
            writer.close()
