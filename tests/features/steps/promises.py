"""Steps about transactions, leaving targets, stops and configuration."""

import asyncio

from behave import step
from behave import then
from behave import when
import msgspec
from testtools import matchers

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.policy import messages
from tests.features.steps import requests
from tests.features.steps import system
from tests.support import failures

IN_FORCE_S = 3.0
NO_WORK_S = 2.0


def do_step(context, kind, name, instance, sql="", params=()):
    """Do one step of a transaction; keep the answer under its name."""
    answer = requests.ask(
        context,
        name,
        instance,
        "submit",
        sql,
        *params,
        step=kind,
        transaction=context.transaction,
        token=requests.token(context),
    )
    if answer.reply.outcome is messages.Outcome.DONE:
        context.token = answer.token
    return answer


@when("a transaction begins at {instance}")
def begin(context, instance):
    context.transaction = ""
    answer = do_step(
        context, messages.TransactionStep.BEGIN, "begin", instance
    )
    context.transaction = answer.reply.transaction


@when("the transaction posts {result} at {instance}")
def post_inside(context, result, instance):
    do_step(
        context,
        messages.TransactionStep.STATEMENT,
        result,
        instance,
        requests.INSERT,
        (result, "asha", 1),
    )


@when("the transaction is committed at {instance}")
def commit(context, instance):
    do_step(context, messages.TransactionStep.COMMIT, "commit", instance)


@when("the transaction is rolled back at {instance}")
def roll_back(context, instance):
    do_step(context, messages.TransactionStep.ROLLBACK, "rollback", instance)


@when("the owner of the transaction is killed")
def kill_owner(context):
    owner = context.transaction.rpartition(".")[0]
    context.owner = owner
    system.run(context, context.world.kill_instance(owner))


@when("{count:d} callers ask for their own value, some too late")
def ask_own_values(context, count):
    async def ask(number):
        work_ms = (number * 7) % 40
        names = sorted(context.world.cores)
        answer = await context.world.run_read(
            names[number % len(names)],
            f"/* work:{work_ms} */ SELECT $1",
            number,
            deadline_s=0.5,
        )
        return number, answer.reply

    async def ask_all():
        return await asyncio.gather(*(ask(n) for n in range(count)))

    context.own = system.run(context, ask_all())


@then("each answer that came is the caller's own, at least {count:d} of them")
def check_own(context, count):
    done = [
        (number, reply.results[0].rows)
        for number, reply in context.own
        if reply.outcome is messages.Outcome.DONE
    ]
    expected = [(number, [[number]]) for number, _rows in done]
    requests.expect(done, matchers.Equals(expected))
    requests.expect(len(done), matchers.GreaterThan(count - 1))


def leaving_name(context, which):
    """Return the target that a step calls the primary or a replica."""
    if which == "primary":
        return context.world.primary().name
    return context.world.replicas()[0].name


@when("the {which} is marked as leaving in the text")
def leave_by_text(context, which):
    context.leaving = leaving_name(context, which)
    context.world.states[context.leaving] = "leaving"
    context.left_at = context.loop.time()
    apply_text(context, "howrah-1")


@when("the {which} is listed as leaving by the platform")
def leave_by_list(context, which):
    context.leaving = leaving_name(context, which)
    context.left_at = context.loop.time()
    system.run(context, asyncio.sleep(0))

    async def put():
        context.world.put_list([context.leaving])

    system.run(context, put())


def last_work_s(context):
    """Return how long after the mark the target still got work."""
    held = context.world.databases[context.leaving]
    return held.last_work - context.left_at


@then("the leaving target got no work after 2 seconds")
def check_no_work(context):
    requests.expect(last_work_s(context), matchers.LessThan(NO_WORK_S))


@then("the leaving target got work after 2 seconds")
def check_work(context):
    requests.expect(last_work_s(context), matchers.GreaterThan(NO_WORK_S))


@then("the leaving target has retired")
def check_retired(context):
    held = context.world.databases[context.leaving]
    requests.expect(held.role, matchers.Equals("retired"))


@when("the instance {name} is stopped gracefully")
def stop(context, name):
    system.run(context, context.world.stop_instance(name))


@when("the instance {name} begins to stop gracefully")
def begin_stop(context, name):
    stopping = context.world.stop_instance(name)
    context.tasks["stop"] = asyncio.ensure_future(stopping, loop=context.loop)


@when("the stop ends")
def end_stop(context):
    system.run(context, context.tasks["stop"])


@then("the stop has not ended")
def check_not_stopped(context):
    requests.expect(context.tasks["stop"].done(), matchers.Equals(False))


@then("no request was cut")
def check_not_cut(context):
    requests.expect(context.checker.cut, matchers.Equals(0))


@then("a request was cut")
def check_cut(context):
    requests.expect(context.checker.cut, matchers.GreaterThan(0))


def apply_text(context, instance, base=None):
    """Apply the world's text through an instance."""
    core = context.world.cores[instance]
    base = core.configuration.version if base is None else base
    text = context.world.text()
    try:
        applied = system.run(
            context, core.apply_configuration(text, base, instance)
        )
    except exceptions.BalsamhingeError as exc:
        context.refusal = exc
        return 0
    context.applied = applied.version
    context.applied_at = context.loop.time()
    return applied.version


@when("an operator adds class {name} at {instance}")
def add_class(context, name, instance):
    context.world.extra_text += f"[class {name}]\nkind = read\n"
    apply_text(context, instance)


@when("an operator adds a class of a wrong kind at {instance}")
def add_wrong(context, instance):
    good = context.world.extra_text
    context.world.extra_text += "[class bad]\nkind = sideways\n"
    apply_text(context, instance)
    context.world.extra_text = good


@when("two operators edit version {base:d} at {first} and {second} at once")
def edit_twice(context, base, first, second):
    text = context.world.text()

    async def edit(instance):
        core = context.world.cores[instance]
        mark = f"\n[class by-{instance}]\nkind = read\n"
        try:
            return await core.apply_configuration(text + mark, base, instance)
        except exceptions.StoreConflict as exc:
            return exc

    async def both():
        return await asyncio.gather(edit(first), edit(second))

    context.edits = system.run(context, both())


@then("one edit is accepted and the other is told of the conflict")
def check_race(context):
    kinds = sorted(type(edit).__name__ for edit in context.edits)
    requests.expect(kinds, matchers.Equals(["AcceptedEdit", "StoreConflict"]))


@then("the edit is accepted")
def check_accepted(context):
    requests.expect(getattr(context, "refusal", None), matchers.Is(None))


@then("the edit is refused with a finding in line {line:d} from the end")
def check_finding(context, line):
    requests.expect(
        context.refusal, matchers.IsInstance(exceptions.ConfigurationError)
    )
    finding = context.refusal.findings[0]
    lines = context.world.text().count("\n") + 1
    requests.expect(finding.line, matchers.GreaterThan(0), str(lines - line))


def versions(context, names=None):
    """Return the version in force on each instance."""
    cores = context.world.cores
    return {n: cores[n].configuration.version for n in names or cores}


@then("within 3 seconds it is in force on every instance")
def check_in_force(context):
    check_in_force_on(context, list(context.world.cores))


@then("within 3 seconds it is in force on every instance but in {centre}")
def check_in_force_elsewhere(context, centre):
    place = context.world.network.place
    names = [n for n in context.world.cores if place[n] != centre]
    check_in_force_on(context, names)


def check_in_force_on(context, names):
    """Wait for the version, and look at the clock."""
    version = context.applied

    def in_force():
        held = versions(context, names)
        return all(one >= version for one in held.values())

    system.run(context, context.world.until(in_force, 10.0))
    spent = context.loop.time() - context.applied_at
    requests.expect(spent, matchers.LessThan(IN_FORCE_S))


@step("the store serves version {version:d} of the text from now on")
def serve_stale(context, version):
    stored = context.world.store.objects[interfaces.CONFIGURATION_KEY]
    old = context.old_text
    requests.expect(stored.version, matchers.GreaterThan(version))
    context.world.store.knobs.stale[interfaces.CONFIGURATION_KEY] = old


@step("the store's text is remembered")
def remember_text(context):
    held = context.world.store.objects[interfaces.CONFIGURATION_KEY]
    context.old_text = held


@then("the instance {name} has version {version:d} in force")
def check_version(context, name, version):
    held = versions(context)[name]
    requests.expect(held, matchers.Equals(version))


@when("the relays of {centre} are killed")
def kill_relays(context, centre):
    core = next(
        core
        for core in context.world.cores.values()
        if core.members.me.data_centre == centre
    )
    for name in core.members.relay_names(1):
        system.run(context, context.world.kill_instance(name))


@then("no instance has a version above {version:d}")
def check_no_version(context, version):
    highest = max(versions(context).values())
    requests.expect(highest, matchers.LessThan(version + 1))


@when("the next answer of the transaction's target is lost")
def lose_target_answer(context):
    owner = context.transaction.rpartition(".")[0]
    target = context.world.primary().name
    context.world.network.lose_commit_answer(owner, target)


@when("the transaction fails at {instance}")
def fail_inside(context, instance):
    do_step(
        context,
        messages.TransactionStep.STATEMENT,
        "failure",
        instance,
        "INSERT INTO nowhere VALUES (1)",
    )


@when("a statement breaks off in the middle of a transaction")
def break_off(context):
    answer = requests.ask(
        context,
        "broken",
        "howrah-1",
        "submit",
        "/* work:400 */ INSERT INTO results VALUES ('r1', 'asha', 1)",
        deadline_s=0.3,
    )
    outcome = answer.reply.outcome.value
    requests.expect(outcome, matchers.Not(matchers.Equals("done")))


@then("result {name} is not answered done")
def check_not_done(context, name):
    outcome = context.answers[name].reply.outcome.value
    requests.expect(outcome, matchers.Not(matchers.Equals("done")))


@when("the data centre {centre} is cut off")
def cut_centre(context, centre):
    failures.cut_centre_off(context.world, centre)


@when("the text marks the replica in {centre} as leaving")
def leave_in(context, centre):
    context.leaving = f"ladder-1-{centre}"
    context.world.states[context.leaving] = "leaving"
    context.left_at = context.loop.time()
    apply_text(context, "howrah-1")


@when("an instance offers the remembered text to {name}")
def offer_old(context, name):
    core = context.world.cores[name]
    text = msgspec.json.decode(
        context.old_text.value, type=interfaces.ConfigurationVersion
    )
    core.configuration.activate(context.old_text.version, text)


@when("the home of the primary is killed")
def kill_home(context):
    core = next(iter(context.world.cores.values()))
    name = context.world.primary().name
    target = core.configuration.plan.targets[name]
    context.owner = core.members.owners(target)[0].name
    system.run(context, context.world.kill_instance(context.owner))


@when("the killed instance starts again with nothing")
def restart_home(context):
    system.run(context, context.world.restart_instance(context.owner))


@then("only homes hold connections for callers' work")
def check_foreign(context):
    held = [
        (core.name, limiter.target.name)
        for core in context.world.cores.values()
        for limiter in core.limiters.limiters.values()
        if limiter.pool.open and not core.members.is_owner(limiter.target)
    ]
    requests.expect(held, matchers.Equals([]))


@when("{count:d} transactions begin at {instance}")
def begin_many(context, count, instance):
    async def begin_all():
        return [
            await context.world.run(
                instance, "submit", "", step=messages.TransactionStep.BEGIN
            )
            for _number in range(count)
        ]

    context.begun = system.run(context, begin_all())


@then("some transactions were refused as overloaded")
def check_refused(context):
    reasons = {answer.reply.reason.value for answer in context.begun}
    requests.expect(reasons, matchers.Equals({"", "overloaded"}))


@then("no target had more connections than its limit")
def check_limit(context):
    for held in context.world.databases.values():
        limit = held.knobs.connections
        requests.expect(
            held.peak_connections, matchers.LessThan(limit + 1), held.name
        )


@when("howrah and a voter miss a promotion in durgapur")
def miss_promotion(context):
    world = context.world
    network = world.network
    leader, voter = "ladder-1-durgapur", "ladder-1-salt-lake"
    here = [n for n in world.cores if network.place[n] == "howrah"]
    others = [n for n in world.cores if n not in here]
    for name in others:
        network.cut(voter, name)
        for near in here:
            network.cut(near, name)
    for name in (voter, *here):
        network.cut(leader, name)
    promote = world.cores["durgapur-1"].promotions.promote
    view = system.run(context, promote("ladder-1", "operator", leader))
    requests.expect(view.primary, matchers.Equals(leader))


@then("the read did not miss {result}")
def check_not_missed(context, result):
    reply = context.answers["read"].reply
    if reply.outcome is messages.Outcome.DONE:
        rows = [row[0] for row in reply.results[0].rows]
        requests.expect(rows, matchers.Contains(result))


def takers_as_leaving(context, name):
    """Return the other instances that take one as leaving."""
    return [
        core.name
        for core in context.world.cores.values()
        if core.name != name and name in core.members.leaving_names
    ]


@then("every instance takes {name} as leaving")
def check_all_know(context, name):
    others = [n for n in context.world.cores if n != name]
    requests.expect(takers_as_leaving(context, name), matchers.Equals(others))


@then("no instance takes {name} as leaving")
def check_none_believes(context, name):
    requests.expect(takers_as_leaving(context, name), matchers.Equals([]))


@when("an instance pushes a text with a finding to {name}")
def push_wrong(context, name):
    text = interfaces.ConfigurationVersion(
        "[class bad]\nkind = sideways\n", "bad", "x"
    )
    message = interfaces.AntiEntropyMessage("howrah-1", version=2, text=text)
    core = context.world.cores[name]
    system.run(context, core.dissemination.handle_message(message))
