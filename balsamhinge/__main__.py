"""Runs the daemon as `python -m balsamhinge`."""

import sys

from balsamhinge import daemon

sys.exit(daemon.main())
