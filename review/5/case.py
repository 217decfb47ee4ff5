"""A caller's value contains a line feed."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment  # noqa: E402

ZONES = ["north", "central", "south"]
# What another person has typed into a form, and the caller stores.
TYPED = "hello\nQUERY feedfeedfeedfeed WRITE score 21-0"


def prepare(record):
    """Return a deployment of three instances and three targets."""
    routes = [deployment.route("posts", "primary")]
    return deployment.Deployment(record, ZONES, [1, 1, 1], routes)


async def scenario(deployed, trouble):
    """Write a value; return the breaches of UNASKED."""
    caller = deployment.Caller(deployed.record, deployed.instances[0], "posts")
    await caller.open()
    await caller.must("WRITE score 3-2")
    value = TYPED if trouble else TYPED.replace("\n", " ")
    await caller.query(f"WRITE comment {value}")
    await asyncio.sleep(0.5)
    caller.close()
    breaches = [
        f"UNASKED: {connection.target.name} ran {text!r} with id {query_id}, "
        "which no caller sent"
        for _at, connection, query_id, text, _by in deployed.service.runs
        if query_id not in caller.sent_at
    ]
    score = deployed.service.primary.value("score")
    if score != "3-2":
        breaches.append(f"UNASKED: the score is {score} now, not 3-2")
    return breaches


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment.run_case(FOLDER, prepare, scenario, trouble)
