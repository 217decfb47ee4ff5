"""A few seeds; ``tests.platform.configurationsoak`` plays more."""

import testtools

from tests.platform import configurationsoak

__all__ = ["ConfigurationSoakTest"]

# One fault, and the time until its end and the bounds have been checked.
PLAY_S = 1.0


class ConfigurationSoakTest(testtools.TestCase):
    """Configurations change while real processes lose the store."""

    def assert_in_force(self, seed, faults, fault_s):
        """Play one fault, and check how requests were handled."""
        options = configurationsoak.Options(faults, PLAY_S, fault_s)
        outcome = configurationsoak.play(seed, options)
        self.assertGreater(outcome.judged, 0)
        self.assertEqual([], outcome.breaches)
        self.assertEqual([], outcome.exits)

    # Guards against routes that instances refuse, or use after their end,
    # since calls wait for a store that has taken and forgotten them.
    def test_changes_after_a_silence_of_the_store_are_in_force(self):
        self.assert_in_force(4, ("silent",), (4.9, 4.9))
