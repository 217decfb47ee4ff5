"""Runs stand-ins as programs."""

import sys

from balsamhinge.standins import programs

sys.exit(programs.main())
