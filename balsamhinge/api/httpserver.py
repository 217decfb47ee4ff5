"""HTTP server whose planned stop cuts no connection that it has accepted."""

import select
import ssl
import time

from cheroot import makefile
from cheroot import server as cheroot_server
from cheroot.ssl import builtin
from cherrypy import _cpwsgi_server
import logbook

from balsamhinge.logs import event

__all__ = ["GracefulServer", "TlsAdapter"]

# Interval in which a stop checks for connections that wait to be accepted.
ACCEPT_POLL_S = 0.005
# Time for the handshake and the request of a connection that arrived while
# the worker threads ended.
LATE_TIMEOUT_S = 1.0
TLS_ENVIRONMENT = {"wsgi.url_scheme": "https", "HTTPS": "on"}

log = logbook.Logger(__name__)


class TlsAdapter(builtin.BuiltinSSLAdapter):
    """TLS that leaves the handshake to the thread of the connection.

    A handshake in the thread that accepts connections would delay all
    others, for as long as the slowest caller takes.
    """

    def wrap(self, sock):
        """See `cheroot.ssl.Adapter.wrap`."""
        wrapped = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, dict(TLS_ENVIRONMENT)


class Connection(cheroot_server.HTTPConnection):
    """A connection that performs its TLS handshake before it is read."""

    _is_ready = False

    def communicate(self):
        """See `HTTPConnection.communicate`."""
        if not self._is_ready and isinstance(self.socket, ssl.SSLSocket):
            try:
                self.socket.do_handshake()
            except OSError as exc:
                event(
                    log.info,
                    "handshake_failed",
                    caller=self.remote_addr,
                    error=f"{type(exc).__name__} {exc}",
                )
                return False
        self._is_ready = True
        return super().communicate()


class GracefulServer(_cpwsgi_server.CPWSGIServer):
    """Serves callers, and all that have connected before it stops.

    While it stops, the application refuses new work, so the callers learn
    that their requests were not run.
    """

    ConnectionClass = Connection

    def stop(self):
        """Serve the connections that wait to be accepted, then stop."""
        if not self.ready:
            return
        deadline = time.monotonic() + self.shutdown_timeout
        # Keeps the kernel's queue of connections when the server closes
        # its own socket.
        listener = self.socket.dup()
        listener.setblocking(False)
        try:
            while is_pending(listener) and time.monotonic() < deadline:
                time.sleep(ACCEPT_POLL_S)
            super().stop()
            while is_pending(listener) and time.monotonic() < deadline:
                self._serve_late(listener)
        finally:
            listener.close()

    def _serve_late(self, listener):
        """Accept a connection and answer its first request."""
        try:
            sock, address = listener.accept()
        except OSError as exc:
            event(log.info, "accept_failed", error=exc)
            return
        sock.settimeout(LATE_TIMEOUT_S)
        make_file, environment = makefile.MakeFile, {}
        if self.ssl_adapter is not None:
            sock, environment = self.ssl_adapter.wrap(sock)
            make_file = self.ssl_adapter.makefile
        conn = self.ConnectionClass(self, sock, make_file)
        conn.remote_addr, conn.remote_port = address[:2]
        conn.ssl_env = environment
        try:
            conn.communicate()
        finally:
            conn.close()


def is_pending(listener):
    """Return whether a connection waits to be accepted."""
    poller = select.poll()
    poller.register(listener, select.POLLIN)
    return bool(poller.poll(0))
