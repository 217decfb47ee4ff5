"""Runs random failures with many seeds, and checks each history.

Continuous integration runs a fixed few seeds as scenarios; this program
runs as many as one likes: python -m tests.explore --first 0 --seeds 100.
"""

import argparse
import asyncio
import random
import sys

from tests.support import failures
from tests.support import history
from tests.support import world as world_module

CALLERS = 6
SECONDS = 20.0
SETTLE_S = 4.0


async def play(seed):
    """Return what is wrong after one seed's failures, and what was done."""
    world = world_module.World(seed=seed)
    checker = history.Checker()
    try:
        await world.start()
        end = asyncio.get_running_loop().time() + SECONDS
        callers = [
            asyncio.ensure_future(
                history.Caller(f"caller{n}", world, checker).run(end)
            )
            for n in range(CALLERS)
        ]
        rng = random.Random(f"failures/{seed}")
        await failures.strike(world, rng, SECONDS - 2.0)
        await asyncio.gather(*callers)
        await asyncio.sleep(SETTLE_S)
        checker.check_contents(contents(world))
        await check_service(world, checker)
    finally:
        world.close()
    return checker


async def check_service(world, checker):
    """Check that every instance writes again once all has healed."""
    for name in sorted(world.cores):
        answer = await world.run_write(
            name, history.INSERT, f"after-{name}", "after", 1
        )
        if answer.reply.outcome != "done":
            checker.wrong.append(f"{name} does not write after healing")


def contents(world):
    """Return the identifiers that the group holds."""
    conn = world.primary().open_sqlite()
    try:
        return [row[0] for row in conn.execute("SELECT id FROM results")]
    finally:
        conn.close()


def main(argv=None):
    """Run the seeds; return 1 if any history was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=20)
    args = parser.parse_args(argv)
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        checker = world_module.run_virtual(play(seed))
        failed += bool(checker.wrong)
        print(
            f"seed={seed} done={checker.outcomes('done')} "
            f"not_run={checker.outcomes('not_run')} "
            f"unknown={checker.outcomes('unknown')} "
            f"wrong={len(checker.wrong)}",
            *checker.wrong[:3],
            flush=True,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
