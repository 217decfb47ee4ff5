"""Runs all tests and scenarios, and prints a one-line summary."""

import pathlib
import sys
import unittest

from behave import configuration
from behave import runner
import testtools

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


class Report(testtools.TestResult):
    """Collects the outcome of each test."""

    def __init__(self):
        super().__init__()
        self.passed = []
        self.failed = []
        # Traceback of each failed test, by its name.
        self.tracebacks = {}

    def addSuccess(self, test, details=None):  # noqa: N802
        """Record a test that passed."""
        super().addSuccess(test, details)
        self.passed.append(test.id())

    def _record(self, kind, test, err, details):
        self.failed.append(test.id())
        print(f"{kind}: {test.id()}")
        text = details["traceback"].as_text() if details else err
        self.tracebacks[test.id()] = text
        print(text)

    def addFailure(self, test, err=None, details=None):  # noqa: N802
        """Record a test with a failed assertion."""
        super().addFailure(test, err, details)
        self._record("FAILED", test, err, details)

    def addError(self, test, err=None, details=None):  # noqa: N802
        """Record a test that raised an error."""
        super().addError(test, err, details)
        self._record("ERROR", test, err, details)


def run_unit_tests():
    """Run the unit tests; return the report."""
    report = Report()
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / "tests"), "test_*.py", str(ROOT))
    report.startTestRun()
    suite.run(report)
    report.stopTestRun()
    return report


def run_scenarios():
    """Run the feature files; return the names that passed and failed."""
    config = configuration.Configuration(
        [str(ROOT / "tests" / "features"), "--format", "progress"]
    )
    behave_runner = runner.Runner(config)
    behave_runner.run()
    passed, failed = [], []
    for feature in behave_runner.features:
        for scenario in feature.walk_scenarios():
            name = f"{feature.name}: {scenario.name}"
            has_passed = scenario.status.name == "passed"
            (passed if has_passed else failed).append(name)
    return passed, failed


def read_known_red():
    """Return the names of tests that are allowed to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


def main():
    """Run everything; return the exit code."""
    report = run_unit_tests()
    passed, failed = run_scenarios()
    passed = report.passed + passed
    failed = report.failed + failed
    # Again at the end, as only the end of a long output may be kept.
    for name, text in report.tracebacks.items():
        print(f"{name}:\n{text}")
    allowed = read_known_red()
    for name in failed:
        mark = "known red" if name in allowed else "FAILED"
        print(f"{mark}: {name}")
    for name in sorted(allowed & set(passed)):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    unexpected = [name for name in failed if name not in allowed]
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
