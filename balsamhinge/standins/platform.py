"""Serves the stand-in store over HTTP, in CherryPy's kin cheroot."""

import asyncio
import concurrent.futures
import threading
import urllib.parse

from cheroot import wsgi

from balsamhinge import exceptions

__all__ = ["PlatformServer"]

THREADS = 64
LISTEN_BACKLOG = 128
PREFIX = "/objects/"
ANSWER_MARGIN_S = 5.0
STATUS = {
    200: "200 OK",
    304: "304 Not Modified",
    404: "404 Not Found",
    412: "412 Precondition Failed",
    503: "503 Service Unavailable",
}


class PlatformServer:
    """Answers GET and PUT below /objects/.

    Parameters
    ----------
    store : ObjectStore
        What is served.
    host : str
        IP number.
    port : int
        TCP port.
    loop : asyncio.AbstractEventLoop
        The loop on which the store lives.
    """

    def __init__(self, store, host, port, loop):
        self._store = store
        self._loop = loop
        self._server = wsgi.Server(
            (host, port),
            self._serve,
            numthreads=THREADS,
            request_queue_size=LISTEN_BACKLOG,
        )
        self._thread = None

    def start(self):
        """Listen in a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve)
        self._thread.daemon = True
        self._thread.start()

    def stop(self):
        """Close."""
        self._server.stop()

    def _serve(self, environ, start_response):
        key = environ["PATH_INFO"].removeprefix(PREFIX)
        try:
            code, found = self._answer(key, environ)
        except exceptions.StoreConflict:
            code, found = 412, None
        except exceptions.StoreUnavailable:
            code, found = 503, None
        headers = [("Content-Type", "application/octet-stream")]
        body = b""
        if found is not None:
            headers.append(("ETag", str(found.version)))
            body = found.value
        headers.append(("Content-Length", str(len(body))))
        start_response(STATUS[code], headers)
        return [body]

    def _answer(self, key, environ):
        if environ["REQUEST_METHOD"] == "PUT":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            value = environ["wsgi.input"].read(length)
            version = int(environ.get("HTTP_IF_MATCH", "0"))
            return 200, self._run(self._store.put(key, value, version), 0.0)
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        if "wait" not in query:
            found = self._run(self._store.get(key), 0.0)
            return (200, found) if found else (404, None)
        wait_s = float(query["wait"])
        watching = self._store.watch(
            key, int(query["after"]), wait_s, wait_s + ANSWER_MARGIN_S
        )
        found = self._run(watching, wait_s)
        return (200, found) if found else (304, None)

    def _run(self, coroutine, timeout_s):
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return fut.result(timeout_s + ANSWER_MARGIN_S)
        except concurrent.futures.TimeoutError as exc:
            raise exceptions.StoreUnavailable("the loop is busy") from exc
