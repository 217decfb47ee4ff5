"""balsamhingectl: command-line tool for operators."""

from balsamhinge.ctl.calls import Client
from balsamhinge.ctl.calls import EXIT_CONFLICT
from balsamhinge.ctl.calls import EXIT_DONE
from balsamhinge.ctl.calls import EXIT_FAILED
from balsamhinge.ctl.calls import EXIT_FINDINGS
from balsamhinge.ctl.calls import EXIT_UNREACHABLE
from balsamhinge.ctl.calls import fetch_fleet_status
from balsamhinge.ctl.commandline import main
from balsamhinge.ctl.output import MAX_SHOWN_FINDINGS

__all__ = [
    "Client",
    "EXIT_CONFLICT",
    "EXIT_DONE",
    "EXIT_FAILED",
    "EXIT_FINDINGS",
    "EXIT_UNREACHABLE",
    "MAX_SHOWN_FINDINGS",
    "fetch_fleet_status",
    "main",
]
