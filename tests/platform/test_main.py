"""Tests of the program's start."""

import subprocess
import sys
import textwrap

import testtools

from balsamhinge import entry

# Sends the process SIGHUP when it begins to import the daemon.
PROGRAM = textwrap.dedent(
    """
    import os, runpy, signal, sys

    class Finder:
        @staticmethod
        def find_spec(name, path=None, target=None):
            if name == "balsamhinge.platform.daemon":
                os.kill(os.getpid(), signal.SIGHUP)

    sys.meta_path.insert(0, Finder)
    sys.argv = ["balsamhinge-platformd", "missing.ini"]
    runpy.run_module("balsamhinge.platform", run_name="__main__")
    """
)


class StartTest(testtools.TestCase):
    """Signals before the event loop runs."""

    # Guards against a process that ends by itself because the platform tells
    # it of changed settings while it starts.
    def test_reload_during_the_start_does_not_end_the_process(self):
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, text=True
        )
        self.assertEqual(entry.EXIT_BAD_SETTINGS, done.returncode, done.stderr)
        self.assertIn("missing.ini", done.stderr)
