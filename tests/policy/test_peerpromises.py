"""Tests of what a restarted instance has promised."""

import testtools

from balsamhinge.policy import peerpromises

__all__ = ["PeerPromisesTest"]

NAME = "north-1"


class PeerPromisesTest(testtools.TestCase):
    """A promise holds for the process that made it."""

    def setUp(self):
        super().setUp()
        self.promises = peerpromises.PeerPromises()
        self.promises.record_process(NAME, 1, True)
        self.promises.record(NAME, 10.0)

    def test_later_promises_count(self):
        self.promises.record(NAME, 12.0)
        self.promises.record(NAME, 11.0)
        self.assertEqual(12.0, self.promises.valid_until(NAME))

    def test_an_unknown_instance_has_promised_nothing(self):
        self.assertEqual(float("-inf"), self.promises.valid_until("other"))

    # Guards against a promise that covers what the process before it did
    # after its own last promise.
    def test_a_new_process_does_not_promise_for_the_one_before(self):
        self.promises.record_process(NAME, 2, False)
        self.promises.record(NAME, 20.0)
        self.assertEqual(10.0, self.promises.valid_until(NAME))

    # A process that has read the store knows of all changes before.
    def test_a_process_that_knows_all_changes_promises_for_both(self):
        self.promises.record_process(NAME, 2, False)
        self.promises.record(NAME, 20.0)
        self.promises.record_process(NAME, 2, True)
        self.assertEqual(20.0, self.promises.valid_until(NAME))
