"""Tests of the HTTP server around a planned stop."""

import asyncio
import pathlib
import shutil
import socket
import ssl
import tempfile
import threading

import attrs
import cherrypy
import httpx
import testtools
import trustme

from balsamhinge.api import server as api_server
from balsamhinge.filters import entry as filters_entry
from balsamhinge.policy import messages
from balsamhinge import settings
from tests.support import real

__all__ = ["StopTest"]

CALLERS = 4
# Time in which a caller is answered although another one is silent.
SILENT_S = 10.0
BODY = b'{"class": "submit", "sql": "SELECT 1"}'
REQUEST = (
    b"POST /v1/services/ladder/statements HTTP/1.1\r\n"
    b"Host: h\r\nContent-Length: %d\r\n\r\n" % len(BODY)
) + BODY


class StoppingCore:
    """Refuses each request, as the controllers do during a stop."""

    ready = False

    async def entry(self, req):
        """Return the refusal of a request."""
        reply = messages.Reply.not_run(messages.Reason.DRAINING, "stops")
        return filters_entry.Answer(reply, "", "r")


@attrs.frozen
class ServerSettings:
    """The settings that the HTTP server reads."""

    callers: settings.CallerSettings
    operator_token: str = ""


class StopTest(testtools.TestCase):
    """Connections that are being opened as the server stops."""

    def setUp(self):
        super().setUp()
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        self.authority = trustme.CA()
        issued = self.authority.issue_cert(real.HOST)
        self.certificate, self.key = folder / "cert", folder / "key"
        issued.cert_chain_pems[0].write_to_path(self.certificate)
        issued.private_key_pem.write_to_path(self.key)
        self.port = real.free_port()

    def connect(self):
        """Open a TCP connection without the TLS handshake."""
        sock = socket.create_connection((real.HOST, self.port), real.LIMIT_S)
        self.addCleanup(sock.close)
        return sock

    def post(self, sock):
        """Perform the handshake and a request; return the response."""
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        with context.wrap_socket(sock, server_hostname=real.HOST) as wrapped:
            wrapped.sendall(REQUEST)
            response = b""
            # The body ends the response: the server may keep the connection.
            while not response.endswith(b"}") and (
                data := wrapped.recv(65536)
            ):
                response += data
        head = response.partition(b"\r\n\r\n")[0].decode()
        lines = head.split("\r\n")
        return lines[0].split(" ")[1], httpx.Headers(
            [line.split(": ", 1) for line in lines[1:]]
        )

    def run_server(self, scenario):
        """Run `scenario(stop)` beside a server with TLS."""

        async def run():
            caller_settings = settings.CallerSettings(
                real.HOST,
                self.port,
                "",
                str(self.certificate),
                str(self.key),
            )
            server = api_server.ApiServer(
                StoppingCore(),
                ServerSettings(caller_settings),
                asyncio.get_running_loop(),
            )
            server.start()
            stopping = threading.Thread(target=server.stop)
            try:
                await asyncio.to_thread(scenario, stopping)
            finally:
                if not stopping.ident:
                    stopping.start()
                await asyncio.to_thread(stopping.join)

        real.run_real(run())

    # Guards against a connection that is closed without an answer because
    # its TLS handshake was under way, or waited for another caller's, as
    # the instance was stopped.
    def test_handshakes_under_way_are_finished_and_answered(self):
        def scenario(stopping):
            # The first one keeps the server waiting for its handshake.
            socks = [self.connect() for _ in range(CALLERS)]
            http_server = cherrypy.server.httpserver
            stopping.start()
            while http_server.ready:
                stopping.join(0.01)
            for sock in socks:
                status, headers = self.post(sock)
                self.assertEqual("503", status)
                self.assertEqual("1", headers["Retry-After"])
                self.assertEqual("close", headers["Connection"])

        self.run_server(scenario)

    # Guards against a connection that is closed without an answer because
    # it came after the last one that the server's own thread accepted.
    def test_connection_during_the_stop_is_answered(self):
        def scenario(stopping):
            # The server's threads end after this handshake.
            first = self.connect()
            http_server = cherrypy.server.httpserver
            stopping.start()
            while http_server.socket is not None:
                stopping.join(0.01)
            late = self.connect()
            self.assertEqual("503", self.post(first)[0])
            self.assertEqual("503", self.post(late)[0])

        self.run_server(scenario)

    # Guards against a request that is on its way as the stop closes its idle
    # connection: callers use a connection on until they are told not to.
    def test_refusals_during_a_stop_end_their_connection(self):
        def scenario(stopping):
            status, headers = self.post(self.connect())
            self.assertEqual("503", status)
            self.assertEqual("close", headers["Connection"])

        self.run_server(scenario)

    # Guards against callers that wait for one that connects and sends
    # nothing.
    def test_silent_caller_delays_no_other(self):
        def scenario(stopping):
            silent = self.connect()
            other = self.connect()
            other.settimeout(SILENT_S)
            context = ssl.create_default_context()
            self.authority.configure_trust(context)
            with context.wrap_socket(
                other, server_hostname=real.HOST
            ) as wrapped:
                wrapped.sendall(REQUEST)
                self.assertIn(b"503", wrapped.recv(65536))
            silent.close()

        self.run_server(scenario)
