"""Tests of the settings file."""

import testtools

from balsamhinge import exceptions
from balsamhinge import settings

GOOD = """\
[instance]
name = howrah-1
data_centre = howrah
seeds = howrah-2@127.0.0.1:7001@howrah
[callers]
address = 127.0.0.1:8080
token = sixteen letters or more
tls = off
[operators]
token = another sixteen letters
[peers]
address = 127.0.0.1:7000
secret = a third sixteen letters
tls = off
[platform]
url = http://127.0.0.1:9000
[targets]
user = balsamhinge
tls = off
password = hidden
[sessions]
key = a fourth sixteen letters
"""


class SettingsTest(testtools.TestCase):
    """Settings are checked as a whole."""

    def findings(self, text):
        exc = self.assertRaises(
            exceptions.ConfigurationError,
            settings.Settings.from_text,
            text,
        )
        return [str(finding) for finding in exc.findings]

    def test_good_settings(self):
        read = settings.Settings.from_text(GOOD)
        self.assertEqual("127.0.0.1:7000", read.member.address)
        self.assertEqual("howrah-2", read.seeds[0].name)

    def test_secrets_are_not_shown(self):
        shown = repr(settings.Settings.from_text(GOOD))
        for secret in ("sixteen", "hidden"):
            self.assertNotIn(secret, shown)

    def test_tls_off_must_be_said(self):
        found = self.findings(GOOD.replace("tls = off\n[op", "[op"))
        self.assertEqual(2, len(found))
        self.assertIn("certificate is missing", found[0])

    def test_all_findings_at_once(self):
        text = GOOD.replace("127.0.0.1:8080", "8080").replace(
            "a third sixteen letters", "short"
        )
        found = self.findings(text + "[extra]\nkey = 1\n")
        self.assertEqual(3, len(found))
        self.assertIn("settings:6:", found[0])
        self.assertIn("settings:13:", found[1])

    def test_missing_sections(self):
        missing = [f for f in self.findings("") if "section is mis" in f]
        self.assertEqual(len(settings.SECTIONS) - 2, len(missing))
