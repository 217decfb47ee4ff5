"""Turns callers' bodies into requests, and answers into bodies."""

import re

import attrs
import msgspec

from balsamhinge.api import values
from balsamhinge import exceptions
from balsamhinge.filters import attempts
from balsamhinge.policy import messages

__all__ = ["BadBody", "answer_body", "parse_request"]

MILLISECONDS = 1000
COMMENTS = re.compile(r"/\*.*?\*/|--[^\n]*", re.DOTALL)
MOST_DEADLINE_MS = 600_000
MOST_STATEMENTS = 1000
MOST_ID_LENGTH = 200


class BadBody(exceptions.BalsamhingeError):
    """A caller's body is malformed; its text names the place."""


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """One statement as callers write it."""

    sql: str
    params: list = msgspec.field(default_factory=list)


class RequestBody(
    msgspec.Struct, forbid_unknown_fields=True, rename={"work_class": "class"}
):
    """A request as callers write it."""

    work_class: str
    sql: str | None = None
    params: list = msgspec.field(default_factory=list)
    statements: list[StatementBody] = msgspec.field(default_factory=list)
    request_id: str = ""
    session: str = ""
    deadline_ms: int | None = None
    max_age_ms: int | None = None


def parse_request(service, content, step, transaction=""):
    """Return the `Request` that a body describes.

    Parameters
    ----------
    service : str
        Name of the service, from the path.
    content : bytes
        The body.
    step : TransactionStep
        What the path says about a transaction.
    transaction : str
        Its identifier, from the path.

    Raises
    ------
    BadBody
        With the place of what is wrong.
    """
    try:
        body = msgspec.json.decode(content, type=RequestBody)
    except msgspec.DecodeError as exc:
        raise BadBody(str(exc)) from exc
    _check_limits(body)
    return attempts.Request(
        service=service,
        work_class=body.work_class,
        statements=_statements(body, step),
        request_id=body.request_id,
        token=body.session,
        deadline_s=seconds(body.deadline_ms),
        max_age_s=seconds(body.max_age_ms),
        step=step,
        transaction=transaction,
    )


def seconds(milliseconds):
    """Return milliseconds as seconds; None stays None."""
    return None if milliseconds is None else milliseconds / MILLISECONDS


def _check_limits(body):
    deadline = body.deadline_ms
    if deadline is not None and not 0 < deadline <= MOST_DEADLINE_MS:
        raise BadBody(f"$.deadline_ms: from 1 to {MOST_DEADLINE_MS}")
    if body.max_age_ms is not None and body.max_age_ms < 0:
        raise BadBody("$.max_age_ms: 0 or more")
    if len(body.request_id) > MOST_ID_LENGTH:
        raise BadBody(f"$.request_id: at most {MOST_ID_LENGTH} characters")
    if len(body.statements) > MOST_STATEMENTS:
        raise BadBody(f"$.statements: at most {MOST_STATEMENTS}")


def _statements(body, step):
    if body.sql is not None and body.statements:
        raise BadBody("$: give sql or statements, not both")
    given = body.statements
    if body.sql is not None:
        given = [StatementBody(body.sql, body.params)]
    if not given and step in (
        messages.TransactionStep.SINGLE,
        messages.TransactionStep.STATEMENT,
    ):
        raise BadBody("$: sql or statements is missing")
    return [
        messages.Statement(checked_sql(one.sql, place), parameters(one, place))
        for place, one in enumerate(given)
    ]


def checked_sql(sql, place):
    """Return a statement that leaves the transaction to the proxy."""
    words = COMMENTS.sub(" ", sql).split(None, 1)
    if not words:
        raise BadBody(f"$.statements[{place}].sql: is empty")
    reserved = ("BEGIN", "START", "COMMIT", "ROLLBACK", "END", "ABORT")
    if words[0].upper().rstrip(";") in reserved:
        raise BadBody(
            f"$.statements[{place}].sql: use the transactions interface "
            f"in place of {words[0].upper()}"
        )
    return sql


def parameters(statement, place):
    """Return the parameters of a statement as Python values."""
    found = []
    for number, value in enumerate(statement.params):
        try:
            found.append(values.from_json(value))
        except ValueError as exc:
            where = f"$.statements[{place}].params[{number}]"
            raise BadBody(f"{where}: {exc}") from exc
    return found


def answer_body(answer):
    """Return the body that tells a caller the outcome."""
    reply = answer.reply
    body = {
        "outcome": reply.outcome.value,
        "request_id": answer.request_id,
        "session": answer.token,
        "results": [result_body(result) for result in reply.results],
    }
    if reply.reason:
        body["reason"] = reply.reason.value
        body["detail"] = reply.detail
    if reply.sqlstate:
        body["sqlstate"] = reply.sqlstate
    if reply.target:
        body["served_by"] = reply.target
    if reply.transaction:
        body["transaction"] = reply.transaction
    return msgspec.json.encode(body)


def result_body(result):
    """Return one statement's result as it goes into a body."""
    body = attrs.asdict(result, recurse=False)
    body["rows"] = [[values.to_json(v) for v in row] for row in result.rows]
    return body
