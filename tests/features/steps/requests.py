"""Steps by which callers ask and look at answers."""

import asyncio

from behave import then
from behave import when
from testtools import matchers

from tests.features.steps import system
from tests.support import history

INSERT = history.INSERT
ALL = "SELECT id FROM results ORDER BY id"


def expect(value, matcher, message=""):
    """Check a value; the message says what else was seen."""
    mismatch = matcher.match(value)
    # behave prints only the text of an AssertionError itself.
    assert mismatch is None, f"{mismatch.describe()} {message}"


def ask(context, name, instance, work_class, sql, *params, **fields):
    """Send one request and keep its answer under a name."""
    call = context.world.run(instance, work_class, sql, *params, **fields)
    context.answers[name] = system.run(context, call)
    return context.answers[name]


def token(context):
    """Return the token of the latest answer."""
    return getattr(context, "token", "")


@when("result {result} is posted at {instance}")
def post(context, result, instance):
    answer = ask(
        context,
        result,
        instance,
        "submit",
        INSERT,
        result,
        "asha",
        1,
        token=token(context),
        request_id=result,
    )
    context.token = answer.token


@when("a request for result {result} starts at {instance}")
def post_later(context, result, instance):
    call = context.world.run(
        instance, "submit", INSERT, result, "asha", 1, request_id=result
    )
    context.tasks[result] = asyncio.ensure_future(call, loop=context.loop)


@when(
    "two requests for result {result} arrive at once at {first} and {second}"
)
def post_twice(context, result, first, second):
    async def both():
        return await asyncio.gather(
            *(
                context.world.run(
                    name,
                    "submit",
                    INSERT,
                    result,
                    "asha",
                    1,
                    request_id=result,
                )
                for name in (first, second)
            )
        )

    first_answer, second_answer = system.run(context, both())
    context.answers[result] = first_answer
    context.answers[f"{result} again"] = second_answer


@when("another result is posted at {instance} as {result}")
def post_other(context, instance, result):
    ask(
        context,
        result,
        instance,
        "submit",
        INSERT,
        "other",
        "asha",
        5,
        request_id=result,
    )


@when("the background request for {result} ends")
def await_background(context, result):
    answer = system.run(context, context.tasks[result])
    context.answers[result] = answer
    context.token = answer.token


@when("the results are read at {instance}")
def read(context, instance):
    answer = ask(
        context, "read", instance, "standing", ALL, token=token(context)
    )
    context.token = answer.token


@when("the results are read without a session at {instance}")
def read_without_session(context, instance):
    ask(context, "read", instance, "standing", ALL)


@when("the public results are read at {instance}")
def read_public(context, instance):
    ask(context, "read", instance, "public", ALL)


@when("results at most {seconds:g} s old are read at {where}")
def read_aged(context, seconds, where):
    ask(context, "read", where, "public", ALL, max_age_s=seconds)


def rows_of(context):
    """Return the identifiers that the last read gave."""
    reply = context.answers["read"].reply
    expect(reply.outcome.value, matchers.Equals("done"), str(reply))
    return [row[0] for row in reply.results[0].rows]


@then("the read shows {results}")
def check_rows(context, results):
    expect(rows_of(context), matchers.Equals(results.split(", ")))


@then("the read is empty")
def check_no_rows(context):
    expect(rows_of(context), matchers.Equals([]))


@then("the read does not show {result}")
def check_not_in_rows(context, result):
    expect(rows_of(context), matchers.Not(matchers.Contains(result)))


@then("{name} is answered {outcome}")
def check_outcome(context, name, outcome):
    name = name.removeprefix("result ")
    outcome, _, reason = outcome.partition(" because of ")
    reply = context.answers[name].reply
    expect(reply.outcome.value, matchers.Equals(outcome), str(reply))
    if reason:
        expect(reply.reason.value, matchers.Equals(reason))


@then("the answer was given by a replica")
def check_replica(context):
    served = context.answers["read"].reply
    positions = [d.applied_position for d in context.world.replicas()]
    expect(positions, matchers.Contains(served.target_applied))


def final_ids(context):
    """Return the identifiers that the group holds, at its primary."""
    conn = context.world.primary().open_sqlite()
    try:
        rows = conn.execute("SELECT id FROM results ORDER BY id").fetchall()
    finally:
        conn.close()
    return [row[0] for row in rows]


@then("the group holds {results}")
def check_held(context, results):
    expect(final_ids(context), matchers.Equals(results.split(", ")))


@then("the group does not hold {result}")
def check_not_held(context, result):
    expect(final_ids(context), matchers.Not(matchers.Contains(result)))


def wrong(context):
    """Return what the history checker finds."""
    system.run(context, asyncio.sleep(system.SETTLE_S))
    context.checker.check_contents(final_ids(context))
    return context.checker.wrong


@then("the history is right, with at least {count:d} accepted results")
def check_history(context, count):
    expect(wrong(context), matchers.Equals([]))
    done = context.checker.outcomes("done")
    expect(done, matchers.GreaterThan(count - 1))


@then("the history is wrong: {what}")
def check_wrong_history(context, what):
    found = "\n".join(wrong(context))
    expect(found, matchers.Contains(what))
