"""Decoding of HTTP request bodies and encoding of answers."""

import re

import attrs
import msgspec

from balsamhinge.api import values
from balsamhinge import exceptions
from balsamhinge.filters import attempts
from balsamhinge.policy import messages

__all__ = ["InvalidBody", "encode_answer", "parse_request"]

MS_PER_SECOND = 1000
COMMENT_PATTERN = re.compile(r"/\*.*?\*/|--[^\n]*", re.DOTALL)
MAX_DEADLINE_MS = 600_000
MAX_STATEMENTS = 1000
MAX_ID_CHARACTERS = 200


class InvalidBody(exceptions.BalsamhingeError):
    """A request body is malformed or exceeds a limit."""


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """One statement of a request body."""

    sql: str
    params: list = msgspec.field(default_factory=list)


class RequestBody(
    msgspec.Struct, forbid_unknown_fields=True, rename={"work_class": "class"}
):
    """The body of a request."""

    work_class: str
    sql: str | None = None
    params: list = msgspec.field(default_factory=list)
    statements: list[StatementBody] = msgspec.field(default_factory=list)
    request_id: str = ""
    session: str = ""
    deadline_ms: int | None = None
    max_age_ms: int | None = None


def parse_request(service, content, step, transaction=""):
    """Decode the body of a request.

    Parameters
    ----------
    service : str
        Name of the service, from the path.
    content : bytes
        JSON body.
    step : TransactionStep
        Transaction step, from the path.
    transaction : str
        Identifier of the transaction, from the path.

    Returns
    -------
    Request

    Raises
    ------
    InvalidBody
        If the body is malformed or exceeds a limit.
    """
    try:
        body = msgspec.json.decode(content, type=RequestBody)
    except msgspec.DecodeError as exc:
        raise InvalidBody(str(exc)) from exc
    _check_limits(body)
    return attempts.Request(
        service=service,
        work_class=body.work_class,
        statements=_decode_statements(body, step),
        request_id=body.request_id,
        token=body.session,
        deadline_s=to_seconds(body.deadline_ms),
        max_age_s=to_seconds(body.max_age_ms),
        step=step,
        transaction=transaction,
    )


def to_seconds(milliseconds):
    """Convert milliseconds to seconds; None stays None."""
    return None if milliseconds is None else milliseconds / MS_PER_SECOND


def _check_limits(body):
    deadline = body.deadline_ms
    if deadline is not None and not 0 < deadline <= MAX_DEADLINE_MS:
        raise InvalidBody(f"$.deadline_ms: from 1 to {MAX_DEADLINE_MS}")
    if body.max_age_ms is not None and body.max_age_ms < 0:
        raise InvalidBody("$.max_age_ms: 0 or more")
    if len(body.request_id) > MAX_ID_CHARACTERS:
        raise InvalidBody(
            f"$.request_id: at most {MAX_ID_CHARACTERS} characters"
        )
    if len(body.statements) > MAX_STATEMENTS:
        raise InvalidBody(f"$.statements: at most {MAX_STATEMENTS}")


def _decode_statements(body, step):
    if body.sql is not None and body.statements:
        raise InvalidBody("$: give sql or statements, not both")
    raw_statements = body.statements
    if body.sql is not None:
        raw_statements = [StatementBody(body.sql, body.params)]
    if not raw_statements and step in (
        messages.TransactionStep.SINGLE,
        messages.TransactionStep.STATEMENT,
    ):
        raise InvalidBody("$: sql or statements is missing")
    return [
        messages.Statement(
            check_sql(statement.sql, index), decode_params(statement, index)
        )
        for index, statement in enumerate(raw_statements)
    ]


def check_sql(sql, index):
    """Return `sql`, which must not begin or end a transaction."""
    words = COMMENT_PATTERN.sub(" ", sql).split(None, 1)
    if not words:
        raise InvalidBody(f"$.statements[{index}].sql: is empty")
    reserved = ("BEGIN", "START", "COMMIT", "ROLLBACK", "END", "ABORT")
    if words[0].upper().rstrip(";") in reserved:
        raise InvalidBody(
            f"$.statements[{index}].sql: use the transactions interface "
            f"in place of {words[0].upper()}"
        )
    return sql


def decode_params(statement, index):
    """Decode the parameters of a statement into Python values."""
    decoded_params = []
    for param_index, value in enumerate(statement.params):
        try:
            decoded_params.append(values.from_json(value))
        except ValueError as exc:
            path = f"$.statements[{index}].params[{param_index}]"
            raise InvalidBody(f"{path}: {exc}") from exc
    return decoded_params


def encode_answer(answer):
    """Encode an answer as a JSON body."""
    reply = answer.reply
    body = {
        "outcome": reply.outcome.value,
        "request_id": answer.request_id,
        "session": answer.token,
        "results": [build_result(result) for result in reply.results],
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


def build_result(result):
    """Return the JSON object of one statement's result."""
    body = attrs.asdict(result, recurse=False)
    body["rows"] = [[values.to_json(v) for v in row] for row in result.rows]
    return body
