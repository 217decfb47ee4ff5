"""Tests of the state of sessions on shared connections."""

import itertools

import testtools

from balsamhinge.policy import statements
from balsamhinge.sessions import connections

Access = statements.Access


class SharedNameTest(testtools.TestCase):
    """Names of prepared statements that sessions share."""

    # Guards against a session that runs the statement of another one, whose
    # shape differs by a blank only.
    def test_statements_of_different_content_have_different_names(self):
        shapes = ("q 1", "q_1", "q  1", "q__1", "q%201", "q%1", "q\udcff1")
        names = [
            connections.shared_prepared_name(
                statements.Prepare("s", access, shape)
            )
            for access, shape in itertools.product(Access, shapes)
        ]
        self.assertEqual(len(names), len(set(names)))
        for name in names:
            self.assertTrue(name.isprintable())
            self.assertNotIn(" ", name)

    def test_equal_statements_share_a_name(self):
        first, second = (
            statements.Prepare(name, Access.WRITE, "q2c") for name in "ab"
        )
        self.assertEqual("w_q2c", connections.shared_prepared_name(first))
        self.assertEqual("w_q2c", connections.shared_prepared_name(second))
