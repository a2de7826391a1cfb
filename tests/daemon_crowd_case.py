"""Test case that starts the `sapphireledged` daemon and lets crowds of callers come to it."""

from __future__ import annotations

import asyncio
import json

import msgspec
from crowd_case import LARGE_ANSWER, CrowdCase
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.thrift import TMessageType
from thriftpy2.transport import TCyMemoryBuffer

from sapphireledge.core.config import StoredDeclaration, config_key
from sapphireledge.operator.messages import OperatorService
from sapphireledge.peers.messages import Hello, PeerService
from sapphireledge_standins import platform_server
from sapphireledge_standins._platform_instances import InstanceRow
from sapphireledge_standins.standin_server import StandinServer
from soak.http import encode_response, read_request

CALLER_PORT, PEER_PORT, OPERATOR_PORT = 8080, 7200, 7300
SECRET = "s"
SLOW_TIME = 20.0
"""Seconds for which the service holds calls of its slow path."""

DECLARATIONS = (
    ("service", {"name": "app"}),
    ("deployment", {"name": "d", "model": "m", "version": "1"}),
    ("rank", {"name": "standard", "order": 0, "target": 30, "worth": 1, "share": 1}),
    ("workspace", {"name": "default"}),
)


def encode_call(method, arguments, sequence=1):
    """Encodes a Thrift call."""
    out = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(out)
    protocol.write_message_begin(method, TMessageType.CALL, sequence)
    protocol.write_struct(arguments)
    return out.getvalue()


def peer_hello():
    """Encodes the hello of another instance."""
    hello = Hello(SECRET, "e2", "dc-a", "r", "1", "127.0.0.1:1")
    return encode_call("hello", PeerService.hello_args(hello))


def operator_hello():
    """Encodes the hello of an operator."""
    return encode_call("hello", OperatorService.hello_args(SECRET, "test"))


class DaemonCrowdCase(CrowdCase):
    """Starts a platform stand-in, a plain service and a daemon with low limits."""

    memory_mb = 128

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform = platform_server.PlatformServer()
        self.server = StandinServer(self.platform.create_app())
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        for kind, spec in DECLARATIONS:
            value = StoredDeclaration("op", msgspec.json.encode(spec).decode()).encode()
            self.platform.objects.put(config_key(kind, spec["name"]), value, 0)
        address = "{}:{}".format(*self.backend.sockets[0].getsockname())
        rows = [InstanceRow("s1", "service", address, "dc-a", "r", role="app")]
        self.platform.instances.set(0.0, rows)

    async def _serve_backend(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if "slow" in request.target:
                    await asyncio.sleep(SLOW_TIME)
                body = LARGE_ANSWER if "large" in request.target else b"ok"
                writer.write(encode_response(200, {}, body))
                await writer.drain()
        except OSError:
            # The daemon gave up the call.
            pass
        finally:
            writer.transport.abort()

    def write_settings(self):
        path = self.folder / "entry.json"
        settings = {
            "instance": "e1",
            "data_centre": "dc-a",
            "region": "r",
            "caller_address": {"host": self.host, "port": CALLER_PORT},
            "peer_address": {"host": self.host, "port": PEER_PORT},
            "operator_address": {"host": self.host, "port": OPERATOR_PORT},
            "platform": {"url": f"http://{self.server.address}"},
            "fleet_secret": SECRET,
            "machine": {"memory": self.memory_mb * 1_048_576},
        }
        path.write_text(json.dumps(settings))
        return ["-m", "sapphireledge.daemon", "--config", str(path)], {}

    def ordinary_requests(self):
        call = b"GET /v1/services/app/quick HTTP/1.1\r\nhost: x\r\n\r\n"
        probe = b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"
        return [
            (CALLER_PORT, call, b" 200 "),
            (CALLER_PORT, probe, b" 200 "),
            (PEER_PORT, peer_hello(), b"hello"),
            (OPERATOR_PORT, operator_hello(), b"hello"),
        ]
