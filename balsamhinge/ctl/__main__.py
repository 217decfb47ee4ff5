"""Runs the command-line tool as `python -m balsamhinge.ctl`."""

import sys

from balsamhinge.ctl import commandline

if __name__ == "__main__":
    sys.exit(commandline.main())
