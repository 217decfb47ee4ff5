"""Tests of the settings file."""

import testtools

from balsamhinge import exceptions
from balsamhinge import settings

VALID = """\
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
    """Validation of the settings file."""

    def findings(self, text):
        exc = self.assertRaises(
            exceptions.ConfigurationError,
            settings.Settings.from_text,
            text,
        )
        return [str(finding) for finding in exc.findings]

    def test_valid_settings_are_read(self):
        parsed = settings.Settings.from_text(VALID)
        self.assertEqual("127.0.0.1:7000", parsed.member.address)
        self.assertEqual("howrah-2", parsed.seeds[0].name)

    def test_repr_hides_secrets(self):
        text = repr(settings.Settings.from_text(VALID))
        for secret in ("sixteen", "hidden"):
            self.assertNotIn(secret, text)

    def test_tls_files_are_required_unless_tls_is_off(self):
        messages = self.findings(VALID.replace("tls = off\n[op", "[op"))
        self.assertEqual(2, len(messages))
        self.assertIn("certificate is missing", messages[0])

    def test_all_findings_are_reported_at_once(self):
        text = VALID.replace("127.0.0.1:8080", "8080").replace(
            "a third sixteen letters", "short"
        )
        messages = self.findings(text + "[extra]\nkey = 1\n")
        self.assertEqual(3, len(messages))
        self.assertIn("settings:6:", messages[0])
        self.assertIn("settings:13:", messages[1])

    def test_missing_sections_are_findings(self):
        missing = [f for f in self.findings("") if "section is mis" in f]
        self.assertEqual(len(settings.SECTIONS) - 2, len(missing))
