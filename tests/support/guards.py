"""Switches single guards off, to show that a check can fail."""

import contextlib
from unittest import mock

from balsamhinge.configuration import parsing
from balsamhinge.controllers import configuration
from balsamhinge.controllers import confirmations
from balsamhinge.controllers import pools
from balsamhinge import core
from balsamhinge.policy import positions
from balsamhinge.standins import database
from balsamhinge.targets import connection

__all__ = ["without"]


async def confirm_nothing(*_args, **_fields):
    """Stand in for a confirmation that always succeeds."""


async def keep_connection(self, conn):
    """Stand in for a pool that takes back any connection."""
    async with self._freed:
        self._idle.append(conn)
        self._freed.notify()


async def write_unrecorded(self, guard, statements, *_args):
    """Stand in for a write that does not record its identifier."""
    return await self.write_repeatable(guard, statements)


def leave_nothing(_self, _target):
    """Stand in for a view in which no target leaves."""
    return False


def activate_anything(self, version, text):
    """Stand in for an instance that takes any version."""
    if text is None or version == self.version:
        return False
    self.version = version
    self.text = text
    self.plan = parsing.parse_plan(text.text)
    return True


def covers_anything(_held, _needed):
    """Stand in for a check that always holds."""
    return True


def accept_term(_self, _term):
    """Stand in for a target that takes work of any term."""


PATCHES = {
    "confirmation": lambda: [
        mock.patch.object(
            confirmations.ConfirmationsController, "confirm", confirm_nothing
        )
    ],
    "position check": lambda: [
        mock.patch.object(positions, "covers", covers_anything)
    ],
    "connection state check": lambda: [
        mock.patch.object(pools.ConnectionPool, "release", keep_connection),
        mock.patch.object(pools.ConnectionPool, "discard", keep_connection),
    ],
    "request record": lambda: [
        mock.patch.object(
            connection.TargetConnection, "write", write_unrecorded
        )
    ],
    "term check": lambda: [
        mock.patch.object(database.Database, "require_term", accept_term)
    ],
    "leaving check": lambda: [
        mock.patch.object(core.Core, "is_leaving", leave_nothing)
    ],
    "version check": lambda: [
        mock.patch.object(
            configuration.ConfigurationController,
            "activate",
            activate_anything,
        )
    ],
}


@contextlib.contextmanager
def without(name):
    """Switch one guard off inside a `with` block."""
    with contextlib.ExitStack() as stack:
        for patch in PATCHES[name]():
            stack.enter_context(patch)
        yield
