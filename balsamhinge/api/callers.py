"""Callers' requests over HTTP, as a WSGI application.

It is grafted onto CherryPy's server beside the operators' pages, because
CherryPy's own request handling takes most of the time of a statement.
"""

import http
import math
import re

import msgspec

from balsamhinge.api import bearer
from balsamhinge.api import bodies
from balsamhinge import exceptions
from balsamhinge.policy import messages

__all__ = ["CallersApplication"]

MOST_BODY_BYTES = 1024 * 1024
MOST_WAIT_S = 600.0
PATH = re.compile(
    r"^/(?P<service>[^/]+)/(?P<kind>statements|batches|transactions)"
    r"(?:/(?P<transaction>[^/]+)/(?P<action>statements|commit|rollback))?/?$"
)
Reason = messages.Reason
STATUS_BY_REASON = {
    Reason.DATABASE: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.ID_REUSED: http.HTTPStatus.CONFLICT,
    Reason.TRANSACTION: http.HTTPStatus.CONFLICT,
    Reason.UNKNOWN_NAME: http.HTTPStatus.NOT_FOUND,
    Reason.OVERLOADED: http.HTTPStatus.TOO_MANY_REQUESTS,
}
LEAST_RETRY_S = 1


class CallersApplication:
    """Answers POST requests below /v1/services.

    Parameters
    ----------
    bridge : Bridge
        To the loop.
    core : Core
        The instance's controllers.
    token : str
        What callers must present, or "" for none.
    """

    def __init__(self, bridge, core, token):
        self._bridge = bridge
        self._core = core
        self._token = bearer.BearerToken(token)

    def __call__(self, environ, start_response):
        """Serve one request."""
        try:
            status, headers, body = self._serve(environ)
        except bodies.BadBody as exc:
            status, headers, body = problem(
                http.HTTPStatus.BAD_REQUEST, str(exc)
            )
        except exceptions.InvalidToken as exc:
            status, headers, body = problem(
                http.HTTPStatus.BAD_REQUEST, f"$.session: {exc}"
            )
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    def _serve(self, environ):
        # The body is always read, so that the connection stays usable.
        content = read_body(environ)
        if not self._token.accepts(environ.get("HTTP_AUTHORIZATION", "")):
            return problem(
                http.HTTPStatus.UNAUTHORIZED, "the caller token is wrong"
            )
        if environ["REQUEST_METHOD"] != "POST":
            return problem(http.HTTPStatus.METHOD_NOT_ALLOWED, "use POST")
        match = PATH.match(environ["PATH_INFO"])
        if match is None:
            return problem(http.HTTPStatus.NOT_FOUND, "no such path")
        if content is None:
            return problem(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body is larger than {MOST_BODY_BYTES} bytes",
            )
        req = bodies.parse_request(
            match["service"],
            content,
            step_of(match),
            match["transaction"] or "",
        )
        patience = req.deadline_s or MOST_WAIT_S
        answer = self._bridge.run(self._core.entry(req), patience)
        return answered(answer)


def read_body(environ):
    """Return a request's body, or None if it is too large."""
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > MOST_BODY_BYTES:
        left = int(length)
        while left > 0:
            chunk = environ["wsgi.input"].read(min(left, 65536))
            if not chunk:
                break
            left -= len(chunk)
        return None
    if length.isdigit():
        return environ["wsgi.input"].read(int(length))
    content = environ["wsgi.input"].read(MOST_BODY_BYTES + 1)
    return None if len(content) > MOST_BODY_BYTES else content


def step_of(match):
    """Return what a path does to a transaction."""
    match match["kind"], match["action"]:
        case "transactions", "statements":
            return messages.TransactionStep.STATEMENT
        case "transactions", "commit":
            return messages.TransactionStep.COMMIT
        case "transactions", "rollback":
            return messages.TransactionStep.ROLLBACK
        case "transactions", None:
            return messages.TransactionStep.BEGIN
        case _:
            return messages.TransactionStep.SINGLE


def answered(answer):
    """Return status, headers and body for an answer."""
    reply = answer.reply
    headers = []
    status = http.HTTPStatus.OK
    if reply.outcome is messages.Outcome.UNKNOWN:
        status = http.HTTPStatus.GATEWAY_TIMEOUT
    elif reply.outcome is messages.Outcome.NOT_RUN:
        status = STATUS_BY_REASON.get(
            reply.reason, http.HTTPStatus.SERVICE_UNAVAILABLE
        )
    if status in (
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ):
        seconds = max(LEAST_RETRY_S, math.ceil(reply.retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    return status, headers, bodies.answer_body(answer)


def problem(status, detail):
    """Return status, headers and body for a request that was not taken."""
    body = {"outcome": "not_run", "reason": "request", "detail": detail}
    return status, [], msgspec.json.encode(body)
