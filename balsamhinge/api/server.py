"""HTTP server for callers and operators, based on CherryPy."""

import cherrypy

from balsamhinge.api import bridge
from balsamhinge.api import callers
from balsamhinge.api import httpserver
from balsamhinge.api import operators

__all__ = ["ApiServer"]

# More threads than requests that admission lets wait, so that the queues of
# the target limiters and not the server's queue decide the order of requests.
THREAD_COUNT = 128
# The default of 5 drops connections during bursts; clients retry after 1 s.
LISTEN_BACKLOG = 512
SOCKET_TIMEOUT_S = 60
# cheroot keeps 10 idle connections by default and closes the others, whose
# callers then open a connection for each request.
MAX_IDLE_CONNECTIONS = 10_000
CALLERS_PATH = "/v1/services"


class ApiServer:
    """Serves HTTP in CherryPy's threads.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    settings : Settings
        Addresses, tokens and certificates.
    loop : asyncio.AbstractEventLoop
        Event loop of the instance.
    """

    def __init__(self, core, settings, loop):
        self._bridge = bridge.Bridge(loop)
        self._core = core
        self._settings = settings

    def start(self):
        """Start the server threads and listen for connections."""
        settings = self._settings
        cherrypy.config.update(
            {
                "global": {
                    "environment": "production",
                    "engine.autoreload.on": False,
                    "log.screen": False,
                    "server.socket_host": settings.callers.host,
                    "server.socket_port": settings.callers.port,
                    "server.thread_pool": THREAD_COUNT,
                    "server.socket_queue_size": LISTEN_BACKLOG,
                    "server.socket_timeout": SOCKET_TIMEOUT_S,
                    "checker.on": False,
                }
            }
        )
        application = callers.CallersApplication(
            self._bridge, self._core, settings.callers.token
        )
        cherrypy.tree.graft(application, CALLERS_PATH)
        health = operators.HealthPages(self._bridge, self._core)
        health.operator = operators.OperatorPages(
            self._bridge, self._core, settings.operator_token
        )
        cherrypy.tree.mount(health, "/")
        server, address = cherrypy.server.httpserver_from_self(
            httpserver.GracefulServer(cherrypy.server)
        )
        server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        if settings.callers.certificate:
            server.ssl_adapter = httpserver.TlsAdapter(
                settings.callers.certificate, settings.callers.key
            )
        cherrypy.server.httpserver = server
        cherrypy.server.bind_addr = address
        cherrypy.engine.start()

    def stop(self):
        """Finish requests in progress and stop the server."""
        cherrypy.engine.exit()
