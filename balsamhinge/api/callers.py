"""WSGI application for the requests of callers.

CherryPy's server calls it directly, because CherryPy's own request handling
would take most of the time of a statement.
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

MAX_BODY_BYTES = 1024 * 1024
MAX_WAIT_S = 600.0
PATH_PATTERN = re.compile(
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
MIN_RETRY_AFTER_S = 1


class CallersApplication:
    """Answers POST requests below /v1/services.

    Parameters
    ----------
    bridge : Bridge
        Runs coroutines on the event loop.
    core : Core
        The instance's controllers.
    token : str
        Bearer token of callers, or "" if they need none.
    """

    def __init__(self, bridge, core, token):
        self._bridge = bridge
        self._core = core
        self._token = bearer.BearerToken(token)

    def __call__(self, environ, start_response):
        """Handle one request, as WSGI prescribes."""
        try:
            status, headers, body = self._serve(environ)
        except bodies.InvalidBody as exc:
            status, headers, body = build_rejection(
                http.HTTPStatus.BAD_REQUEST, str(exc)
            )
        except exceptions.InvalidToken as exc:
            status, headers, body = build_rejection(
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
        # The body is read even of a rejected request, so that the
        # connection can be reused.
        content = read_body(environ)
        if not self._token.accepts(environ.get("HTTP_AUTHORIZATION", "")):
            return build_rejection(
                http.HTTPStatus.UNAUTHORIZED, "the caller token is wrong"
            )
        if environ["REQUEST_METHOD"] != "POST":
            return build_rejection(
                http.HTTPStatus.METHOD_NOT_ALLOWED, "use POST"
            )
        match = PATH_PATTERN.match(environ["PATH_INFO"])
        if match is None:
            return build_rejection(http.HTTPStatus.NOT_FOUND, "no such path")
        if content is None:
            return build_rejection(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body is larger than {MAX_BODY_BYTES} bytes",
            )
        req = bodies.parse_request(
            match["service"],
            content,
            transaction_step(match),
            match["transaction"] or "",
        )
        timeout_s = req.deadline_s or MAX_WAIT_S
        answer = self._bridge.run(self._core.entry(req), timeout_s)
        return build_response(answer)


def read_body(environ):
    """Return a request's body, or None if it is too large."""
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > MAX_BODY_BYTES:
        remaining = int(length)
        while remaining > 0:
            chunk = environ["wsgi.input"].read(min(remaining, 65536))
            if not chunk:
                break
            remaining -= len(chunk)
        return None
    if length.isdigit():
        return environ["wsgi.input"].read(int(length))
    content = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    return None if len(content) > MAX_BODY_BYTES else content


def transaction_step(match):
    """Return the transaction step that a path stands for."""
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


def build_response(answer):
    """Return status, headers and body of the response to an answer."""
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
        seconds = max(MIN_RETRY_AFTER_S, math.ceil(reply.retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    if reply.reason is messages.Reason.DRAINING:
        # The connection is closed soon; a request on its way would be lost.
        headers.append(("Connection", "close"))
    return status, headers, bodies.encode_answer(answer)


def build_rejection(status, detail):
    """Return status, headers and body for an invalid request."""
    body = {"outcome": "not_run", "reason": "request", "detail": detail}
    return status, [], msgspec.json.encode(body)
