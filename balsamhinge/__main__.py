"""Runs the daemon."""

import sys

from balsamhinge import daemon

sys.exit(daemon.main())
