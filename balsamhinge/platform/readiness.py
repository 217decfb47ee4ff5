"""HTTP server for readiness probes, metrics and the status page."""

import asyncio

import h11

__all__ = ["ReadinessServer"]

PATH = b"/balsamhinge/readiness"
METRICS_PATH = b"/metrics"
STATUS_PATH = b"/status"
# Readiness probes of the load balancer are far shorter.
MAX_REQUEST_BYTES = 8192


class ReadinessServer:
    """Serves readiness, metrics and the operators' status page.

    Parameters
    ----------
    is_ready : callable
        Returns whether the load balancer should send new connections to this
        instance.
    render_metrics, render_status : callable
        Return the content of the page as bytes.
    """

    def __init__(self, is_ready, render_metrics, render_status):
        self._is_ready = is_ready
        self._pages = {
            METRICS_PATH: render_metrics,
            STATUS_PATH: render_status,
        }
        self._server = None

    async def start(self, address):
        """Listen on `address`."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _HttpConnection(self.answer), host, int(port)
        )

    def answer(self, path):
        """Return the status code and the body of the response for a path."""
        if path == PATH:
            return (200, b"ready") if self._is_ready() else (503, b"not ready")
        if path in self._pages:
            return 200, self._pages[path]()
        return 404, b"no such page"

    def stop(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()


class _HttpConnection(asyncio.Protocol):
    """Server side of an HTTP connection; h11 parses and frames."""

    def __init__(self, answer):
        self._answer = answer
        self._machine = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._machine.receive_data(data)
        try:
            while self._handle_next_event():
                pass
        except h11.ProtocolError:
            self._transport.close()

    def _handle_next_event(self):
        """Handle one h11 event; return whether more events may follow."""
        event = self._machine.next_event()
        if isinstance(event, h11.Request):
            self._respond(*self._answer(event.target))
        elif isinstance(event, h11.ConnectionClosed):
            self._transport.close()
            return False
        elif event in (h11.NEED_DATA, h11.PAUSED):
            return self._next_cycle()
        return True

    def _next_cycle(self):
        if self._machine.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return False
        states = {self._machine.our_state, self._machine.their_state}
        if states == {h11.DONE}:
            self._machine.start_next_cycle()
            return True
        return False

    def _respond(self, status, body):
        length = ("Content-Length", str(len(body)))
        response = h11.Response(status_code=status, headers=[length])
        data = self._machine.send(response)
        data += self._machine.send(h11.Data(data=body))
        data += self._machine.send(h11.EndOfMessage())
        self._transport.write(data)
