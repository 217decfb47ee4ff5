"""Tests of the command-line tool without a running system."""

import contextlib
import io
import json
import os
import tempfile

import testtools

from balsamhinge import ctl

__all__ = ["CheckTest", "ExplainTest", "FleetTest"]

LINE = (
    "time=2026-12-04T10:00:07.4Z level=INFO event=refused request_id=r1 "
    "group=g waited_s=0.1\n"
)


def run_tool(*args):
    """Return exit code, output and error output of the tool."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = ctl.main(args)
    return code, out.getvalue(), err.getvalue()


class FileTestCase(testtools.TestCase):
    """Has files for the tool."""

    def write(self, data):
        """Return the path of a file with those bytes."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = os.path.join(directory.name, "text.ini")
        with open(path, "wb") as file:
            file.write(data)
        return path


class CheckTest(FileTestCase):
    """Checks of texts that nobody should have written."""

    def test_a_text_that_is_not_utf_8_is_a_finding_with_its_place(self):
        path = self.write(b"[service a]\ngroup = \xff\n")
        code, _out, err = run_tool("config", "check", path)
        self.assertEqual(ctl.EXIT_FINDINGS, code)
        self.assertIn(f"{path}:2: byte 21 is not UTF-8", err)

    def test_very_many_findings_are_counted(self):
        path = self.write(b"".join(b"[odd%d]\nx = 1\n" % n for n in range(90)))
        code, _out, err = run_tool("config", "check", path)
        self.assertEqual(ctl.EXIT_FINDINGS, code)
        lines = err.splitlines()
        self.assertEqual(ctl.MOST_FINDINGS + 1, len(lines))
        _code, _out, err = run_tool("config", "check", "--all", path)
        everything = err.splitlines()
        self.assertThat(len(everything), testtools.matchers.GreaterThan(89))
        self.assertEqual(everything[: ctl.MOST_FINDINGS], lines[:-1])
        left = len(everything) - ctl.MOST_FINDINGS
        self.assertIn(f"{len(everything)} findings, {left} of them", lines[-1])

    def test_a_missing_file_is_named_with_the_program(self):
        code, _out, err = run_tool("config", "check", "missing.ini")
        self.assertEqual(ctl.EXIT_FINDINGS, code)
        self.assertEqual(
            "balsamhingectl: missing.ini: No such file or directory\n", err
        )

    def test_where_nothing_is_known_nothing_is_listed(self):
        text = b"[service a]\ngroup = g\n[class c]\nkind = read\n"
        _code, _out, err = run_tool("config", "check", self.write(text))
        self.assertNotIn("known are: \n", err)
        self.assertIn("none is known", err)


class ExplainTest(FileTestCase):
    """The story of a request, for people and for programs."""

    def test_a_story_is_a_table_or_json(self):
        path = self.write(LINE.encode())
        code, out, _err = run_tool("explain", "r1", path)
        self.assertEqual(ctl.EXIT_DONE, code)
        self.assertIn("waited_s=0.1", out)
        code, out, _err = run_tool("--format=json", "explain", "r1", path)
        self.assertEqual("refused", json.loads(out)[0]["event"])

    def test_an_unknown_request_is_said_so(self):
        path = self.write(LINE.encode())
        code, _out, err = run_tool("explain", "r9", path)
        self.assertEqual(ctl.EXIT_FAILED, code)
        self.assertEqual("balsamhingectl: no line names request r9\n", err)


class FleetTest(testtools.TestCase):
    """The view of a fleet."""

    def test_an_instance_that_does_not_answer_is_named(self):
        code, _out, err = run_tool("fleet", "http://127.0.0.1:1")
        self.assertEqual(ctl.EXIT_UNREACHABLE, code)
        self.assertIn("http://127.0.0.1:1: no answer", err)
