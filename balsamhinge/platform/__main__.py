"""Runs the daemon of one instance on the users' platform."""

import sys

from balsamhinge.platform import daemon

if __name__ == "__main__":
    sys.exit(daemon.main())
