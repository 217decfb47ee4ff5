"""Runs the daemon of one instance on the users' platform."""

import signal
import sys

if __name__ == "__main__":
    # The imports take a while. The settings are read after them, so that a
    # request to read them again has no effect before.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from balsamhinge.platform import daemon

    sys.exit(daemon.main())
