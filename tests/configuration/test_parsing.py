"""Tests of parsing, validating and editing the configuration."""

import testtools

from balsamhinge.configuration import checks
from balsamhinge.configuration import editing
from balsamhinge.configuration import findings
from balsamhinge.configuration import parsing
from balsamhinge import exceptions

VALID_CONFIGURATION = """\
# ladders of one ward
[service ladder]
group = g
depends_on = fixtures
shutdown = 2027-01-31
[service fixtures]
group = g
shutdown = 2027-06-30
[class submit]
kind = write
[group g]
targets = a
[target a]
address = 127.0.0.1:5432
data_centre = howrah
"""


def findings_of(text):
    """Return the findings of a configuration as strings."""
    try:
        parsing.parse_plan(text, "text")
    except exceptions.ConfigurationError as exc:
        return [str(finding) for finding in exc.findings]
    return []


class ParsePlanTest(testtools.TestCase):
    """Parsing reports all findings at once, each with its line."""

    def check(self, old, new, *expected):
        """Check the findings after replacing `old` by `new`."""
        self.assertIn(old, VALID_CONFIGURATION)
        found = findings_of(VALID_CONFIGURATION.replace(old, new))
        self.assertEqual(len(expected), len(found), found)
        for finding, part in zip(found, expected, strict=True):
            self.assertIn(part, finding)

    def test_valid_configuration(self):
        parsed = parsing.parse_plan(VALID_CONFIGURATION)
        self.assertEqual(20, parsed.targets["a"].connections)
        self.assertTrue(parsed.classes["submit"].write)

    def test_all_findings_are_reported_at_once(self):
        text = VALID_CONFIGURATION.replace(
            "kind = write", "kind = sideways"
        ).replace("address = 127.0.0.1:5432", "address = somewhere")
        found = findings_of(text)
        self.assertEqual(2, len(found))
        self.assertTrue(found[0].startswith("text:10: [class submit]"))
        self.assertTrue(found[1].startswith("text:14: [target a]"))

    def test_dependency_that_shuts_down_first(self):
        self.check("2027-06-30", "2027-01-30", "ends 2027-01-31, after")

    def test_dependency_cycle(self):
        self.check(
            "shutdown = 2027-06-30",
            "shutdown = 2027-01-31\ndepends_on = ladder",
            "depends on itself",
        )

    def test_unknown_names(self):
        self.check("on = fixtures", "on = nothing", "unknown service nothing")
        self.check("targets = a", "targets = a, b", "target b is unknown")
        self.check("kind = write", "sort = write", "unknown key sort")
        self.check("[class submit]", "[clas submit]", "no class", "unknown s")

    def test_duplicate_section(self):
        self.check("[class submit]", "[service ladder]", "duplicate section")

    def test_impossible_limits(self):
        self.check("data_centre", "connections = 8\ndata_centre", "do not")
        self.check("data_centre", "slots = none\ndata_centre", "slots is")

    def test_missing_value(self):
        self.check("data_centre = howrah", "", "data_centre is missing")

    def test_invalid_ini(self):
        self.check("# ladders of one ward", "kind = write", "text:1")

    def test_every_target_of_a_group_is_leaving(self):
        self.check("data_centre", "state = leaving\ndata_centre", "leaving")


class ChangeTest(testtools.TestCase):
    """A target has to retire before it is removed from its group."""

    def check_removal(self, retired):
        old = parsing.parse_plan(
            VALID_CONFIGURATION.replace("targets = a", "targets = a, b")
            + "[target b]\naddress = 127.0.0.1:5433\ndata_centre = h\n"
        )
        new = parsing.parse_plan(VALID_CONFIGURATION)
        found = findings.FindingList("text")
        checks.check_change(old, new, retired, found)
        return found.found

    def test_removal_before_retirement(self):
        self.assertEqual(1, len(self.check_removal(set())))

    def test_removal_after_retirement(self):
        self.assertEqual([], self.check_removal({"b"}))


class EditingTest(testtools.TestCase):
    """An edit changes one line and preserves comments."""

    def test_leaving_state_is_inserted_or_replaced(self):
        edited = editing.set_leaving(VALID_CONFIGURATION, "a")
        self.assertIn("[target a]\nstate = leaving\n", edited)
        self.assertIn("# ladders of one ward", edited)
        again = editing.set_leaving(
            edited.replace("state = leaving", "state = active"), "a"
        )
        self.assertEqual(edited, again)

    def test_unknown_target(self):
        self.assertRaises(
            exceptions.ConfigurationError,
            editing.set_leaving,
            VALID_CONFIGURATION,
            "z",
        )
