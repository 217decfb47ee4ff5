"""HTTP pages for health checks, metrics and operators."""

import attrs
import cherrypy
import msgspec

from balsamhinge.api import bearer
from balsamhinge import exceptions
from balsamhinge import metrics
from balsamhinge.policy import tokens
from balsamhinge import status

__all__ = ["HealthPages", "OperatorPages"]

CHANGE_TIMEOUT_S = 30.0
# Content type of the Prometheus text format.
TEXT = "text/plain; version=0.0.4; charset=utf-8"


class HealthPages:
    """Pages without authentication: health, readiness and metrics."""

    def __init__(self, bridge, core):
        self._bridge = bridge
        self._core = core

    @cherrypy.expose
    def healthz(self):
        """Report that the event loop is responsive."""
        self._bridge.call(lambda: None)
        return b"ok\n"

    @cherrypy.expose
    def readyz(self):
        """Report to load balancers whether the instance accepts requests."""
        if self._bridge.call(lambda: self._core.ready):
            return b"ready\n"
        cherrypy.response.status = 503
        return b"not ready\n"

    @cherrypy.expose
    def metrics(self):
        """Return all metrics in the text format of Prometheus."""
        cherrypy.response.headers["Content-Type"] = TEXT
        self._bridge.call(metrics.observe_state, self._core)
        return metrics.render()


def json_page(function):
    """Expose a method as a page that returns JSON, also for errors.

    The page requires the operators' token. Known errors become a status
    code with a body of `build_failure`.
    """

    def page(self, *args, **params):
        cherrypy.response.headers["Content-Type"] = "application/json"
        try:
            self.require_token()
            return msgspec.json.encode(function(self, *args, **params))
        except exceptions.ConfigurationError as exc:
            rows = [attrs.asdict(finding) for finding in exc.findings]
            return build_failure(422, "findings", rows)
        except exceptions.StoreConflict as exc:
            return build_failure(409, str(exc))
        except exceptions.StoreUnavailable as exc:
            return build_failure(503, f"the store is unavailable: {exc}")
        except exceptions.InvalidToken as exc:
            return build_failure(400, str(exc))

    page.__doc__ = function.__doc__
    return cherrypy.expose(page, function.__name__)


def build_failure(code, detail, findings=()):
    """Set the status code and return the JSON body of an error."""
    cherrypy.response.status = code
    return msgspec.json.encode({"detail": detail, "findings": list(findings)})


class OperatorPages:
    """Pages for `balsamhingectl` that require the operators' token.

    Parameters
    ----------
    bridge : Bridge
        Runs coroutines on the event loop.
    core : Core
        The instance's controllers.
    token : str
        Bearer token of operators, or "" if they need none.
    """

    def __init__(self, bridge, core, token):
        self._bridge = bridge
        self._core = core
        self._token = bearer.BearerToken(token)

    def require_token(self):
        """Raise an HTTP error if a request lacks the operators' token."""
        given = cherrypy.request.headers.get("Authorization", "")
        if not self._token.accepts(given):
            raise cherrypy.HTTPError(401, "the operator token is wrong")

    @json_page
    def status(self):
        """Return the state of instances, groups and services."""
        return self._bridge.call(status.snapshot, self._core)

    @json_page
    def configuration(self):
        """Return the configuration in force, or apply a new one by PUT."""
        if cherrypy.request.method == "PUT":
            return self._apply_configuration()
        return self._bridge.call(self._describe_configuration)

    def _describe_configuration(self):
        controller = self._core.configuration
        return {
            "version": controller.version,
            "text": controller.text.text if controller.text else "",
            "author": controller.text.author if controller.text else "",
        }

    def _apply_configuration(self):
        text = cherrypy.request.body.read().decode()
        headers = cherrypy.request.headers
        base_version = headers.get("If-Match", "")
        if not base_version.isdigit():
            raise cherrypy.HTTPError(400, "If-Match: the base version")
        author = headers.get("X-Author", "")
        applied = self._bridge.run(
            self._core.apply_configuration(text, int(base_version), author),
            CHANGE_TIMEOUT_S,
        )
        return {"version": applied.version}

    @json_page
    def history(self):
        """Return the versions that this instance used, oldest first."""
        return self._bridge.call(self._describe_history)

    def _describe_history(self):
        return [
            {
                "version": entry.version,
                "author": entry.text.author,
                "edit": entry.text.edit_id,
            }
            for entry in self._core.configuration.history
        ]

    @json_page
    def promote(self, group, target=""):
        """Change the primary of a group, to `target` if it is given."""
        if cherrypy.request.method != "POST":
            raise cherrypy.HTTPError(405, "use POST")
        plan = self._bridge.call(lambda: self._core.configuration.plan)
        if group not in plan.groups:
            raise cherrypy.HTTPError(404, f"group {group} is unknown")
        if target and target not in plan.groups[group].targets:
            raise cherrypy.HTTPError(404, f"{target} is not in {group}")
        view = self._bridge.run(
            self._core.promotions.promote(group, "operator", target),
            CHANGE_TIMEOUT_S,
        )
        if view is None:
            raise cherrypy.HTTPError(503, "the promotion did not succeed")
        return attrs.asdict(view)

    @json_page
    def session(self, token):
        """Return the log positions by group in a session token."""
        key = self._core.options.token_key
        session_token = tokens.open_token(token, key)
        return {
            group: str(position)
            for group, position in session_token.seen.items()
        }
