"""Operators' pages on CherryPy's tree."""

import attrs
import cherrypy
import msgspec

from balsamhinge.api import bearer
from balsamhinge import exceptions
from balsamhinge import metrics
from balsamhinge.policy import tokens
from balsamhinge import status

__all__ = ["HealthPages", "OperatorPages"]

CHANGE_S = 30.0
TEXT = "text/plain; version=0.0.4; charset=utf-8"


class HealthPages:
    """Pages without a token: health, readiness and metrics."""

    def __init__(self, bridge, core):
        self._bridge = bridge
        self._core = core

    @cherrypy.expose
    def healthz(self):
        """Answer as long as the loop answers."""
        self._bridge.call(lambda: None)
        return b"ok\n"

    @cherrypy.expose
    def readyz(self):
        """Tell the balancer whether to send work here."""
        if self._bridge.call(lambda: self._core.ready):
            return b"ready\n"
        cherrypy.response.status = 503
        return b"not ready\n"

    @cherrypy.expose
    def metrics(self):
        """Give all metrics to Prometheus."""
        cherrypy.response.headers["Content-Type"] = TEXT
        self._bridge.call(metrics.observe_state, self._core)
        return metrics.render()


def json_page(function):
    """Answer with JSON, and turn errors into a status and their text."""

    def page(self, *args, **params):
        cherrypy.response.headers["Content-Type"] = "application/json"
        try:
            self.require_token()
            return msgspec.json.encode(function(self, *args, **params))
        except exceptions.ConfigurationError as exc:
            found = [attrs.asdict(finding) for finding in exc.findings]
            return failure(422, "findings", found)
        except exceptions.StoreConflict as exc:
            return failure(409, str(exc))
        except exceptions.StoreUnavailable as exc:
            return failure(503, f"the store is unavailable: {exc}")
        except exceptions.InvalidToken as exc:
            return failure(400, str(exc))

    page.__doc__ = function.__doc__
    return cherrypy.expose(page, function.__name__)


def failure(code, detail, found=()):
    """Set the status and return the body of a failure."""
    cherrypy.response.status = code
    return msgspec.json.encode({"detail": detail, "findings": list(found)})


class OperatorPages:
    """Pages for `balsamhingectl`, behind the operators' token.

    Parameters
    ----------
    bridge : Bridge
        To the loop.
    core : Core
        The instance's controllers.
    token : str
        What operators must present, or "" for none.
    """

    def __init__(self, bridge, core, token):
        self._bridge = bridge
        self._core = core
        self._token = bearer.BearerToken(token)

    def require_token(self):
        """Refuse a request without the operators' token."""
        given = cherrypy.request.headers.get("Authorization", "")
        if not self._token.accepts(given):
            raise cherrypy.HTTPError(401, "the operator token is wrong")

    @json_page
    def status(self):
        """Return instances, groups and services."""
        return self._bridge.call(status.snapshot, self._core)

    @json_page
    def configuration(self):
        """Return the text in force, or apply a new one."""
        if cherrypy.request.method == "PUT":
            return self._apply()
        return self._bridge.call(self._shown)

    def _shown(self):
        held = self._core.configuration
        return {
            "version": held.version,
            "text": held.text.text if held.text else "",
            "author": held.text.author if held.text else "",
        }

    def _apply(self):
        text = cherrypy.request.body.read().decode()
        headers = cherrypy.request.headers
        base = headers.get("If-Match", "")
        if not base.isdigit():
            raise cherrypy.HTTPError(400, "If-Match: the base version")
        author = headers.get("X-Author", "")
        applied = self._bridge.run(
            self._core.apply_configuration(text, int(base), author), CHANGE_S
        )
        return {"version": applied.version}

    @json_page
    def history(self):
        """Return the texts that were in force here, oldest first."""
        return self._bridge.call(self._listed)

    def _listed(self):
        return [
            {
                "version": one.version,
                "author": one.text.author,
                "edit": one.text.edit_id,
            }
            for one in self._core.configuration.history
        ]

    @json_page
    def promote(self, group, target=""):
        """Give a group another primary."""
        if cherrypy.request.method != "POST":
            raise cherrypy.HTTPError(405, "use POST")
        plan = self._bridge.call(lambda: self._core.configuration.plan)
        if group not in plan.groups:
            raise cherrypy.HTTPError(404, f"group {group} is unknown")
        if target and target not in plan.groups[group].targets:
            raise cherrypy.HTTPError(404, f"{target} is not in {group}")
        view = self._bridge.run(
            self._core.promotions.promote(group, "operator", target),
            CHANGE_S,
        )
        if view is None:
            raise cherrypy.HTTPError(503, "the promotion did not succeed")
        return attrs.asdict(view)

    @json_page
    def session(self, token):
        """Return what a session token holds."""
        key = self._core.options.token_key
        opened = tokens.open_token(token, key)
        return {group: str(p) for group, p in opened.seen.items()}
