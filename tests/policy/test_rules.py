"""Tests of tokens, ownership, freshness, retries, routing and views."""

import testtools

from balsamhinge import exceptions
from balsamhinge.policy import disseminationtree
from balsamhinge.policy import freshness
from balsamhinge.policy import messages
from balsamhinge.policy import outcomes
from balsamhinge.policy import ownership
from balsamhinge.policy import positions
from balsamhinge.policy import retries
from balsamhinge.policy import routing
from balsamhinge.policy import tokens
from balsamhinge.policy import views

Position = positions.LogPosition
Reason = messages.Reason


class TokensTest(testtools.TestCase):
    """Tokens survive encoding, and modified ones are refused."""

    def test_round_trip(self):
        token = tokens.SessionToken().with_position("g", Position(2, 7))
        text = tokens.seal_token(token, b"key")
        self.assertEqual(token.seen, tokens.open_token(text, b"key").seen)

    def test_forged_tokens_are_refused(self):
        text = tokens.seal_token(tokens.SessionToken(), b"key")
        for forged in ("", "%%%", "é", text[:-1] + "x", text + "AAAA"):
            self.assertRaises(
                exceptions.InvalidToken, tokens.open_token, forged, b"key"
            )
        self.assertRaises(
            exceptions.InvalidToken, tokens.open_token, text, b"other"
        )

    def test_earlier_position_does_not_change_a_token(self):
        token = tokens.SessionToken({"g": Position(2, 7)})
        token = token.with_position("g", Position(2, 3))
        self.assertEqual(Position(2, 7), token.position("g"))


class OwnershipTest(testtools.TestCase):
    """Owners are local to the target and change as little as possible."""

    def setUp(self):
        super().setUp()
        self.members = [
            ownership.Member(f"{centre}{n}", "", centre)
            for centre in "xyz"
            for n in range(10)
        ]

    def test_local_members_are_ranked_separately(self):
        rankings = ownership.OwnerRankings()
        rankings.replace_members({m.name: m for m in self.members})
        self.assertEqual(10, len(rankings.local_names("t", "y")))
        self.assertEqual({"y"}, {n[0] for n in rankings.local_names("t", "y")})
        self.assertEqual(
            {"x", "z"}, {n[0] for n in rankings.remote_names("t", "y")}
        )

    def test_loss_of_a_member_moves_only_its_targets(self):
        lost = self.members[13]
        remaining = [m for m in self.members if m is not lost]
        rankings = ownership.OwnerRankings()
        rankings.replace_members({m.name: m for m in self.members})
        before = [rankings.local_names(f"t{n}", "y")[0] for n in range(100)]
        rankings.replace_members({m.name: m for m in remaining})
        after = [rankings.local_names(f"t{n}", "y")[0] for n in range(100)]
        self.assertNotEqual(before, after)
        for old, new in zip(before, after, strict=True):
            self.assertIn(old, (new, lost.name))

    def test_updated_ranking_equals_a_new_one(self):
        kept, fresh = ownership.OwnerRankings(), ownership.OwnerRankings()
        kept.replace_members({m.name: m for m in self.members[:20]})
        kept.local_names("t", "y")
        kept.replace_members({m.name: m for m in self.members[5:]})
        fresh.replace_members({m.name: m for m in self.members[5:]})
        self.assertEqual(
            fresh.local_names("t", "y"), kept.local_names("t", "y")
        )


class FreshnessTest(testtools.TestCase):
    """Only positions from while the primary is known to lead count."""

    def setUp(self):
        super().setUp()
        self.history = freshness.PrimaryHistory()
        for asked in range(10):
            self.history.record_position(float(asked), Position(1, 10 * asked))
        self.history.record_leading_until(7.0, Position(1, 70))

    def test_oldest_position_within_the_age_is_used(self):
        self.assertEqual(
            Position(1, 50), self.history.position_for_age(9.0, 4.0)
        )

    def test_positions_after_the_last_proof_of_leadership_are_ignored(self):
        self.assertIsNone(self.history.position_for_age(9.0, 1.0))

    def test_age_of_a_replica(self):
        self.assertEqual(4.0, self.history.data_age_s(9.0, Position(1, 55)))


class OutcomesTest(testtools.TestCase):
    """An unknown outcome of a write stays until its record is target_views."""

    def test_unknown_outcome_outlasts_a_later_refusal(self):
        attempts = outcomes.AttemptHistory(write=True)
        lost = messages.Reply.unknown(Reason.ANSWER_LOST, "")
        attempts.record(lost)
        refused = messages.Reply.not_run(Reason.OVERLOADED, "")
        attempts.record(refused)
        step = outcomes.next_step(attempts, refused, False)
        self.assertEqual(outcomes.Finish(lost), step)

    def test_unknown_outcome_of_a_read_is_ignored(self):
        attempts = outcomes.AttemptHistory(write=False)
        attempts.record(messages.Reply.unknown(Reason.ANSWER_LOST, ""))
        refused = messages.Reply.not_run(Reason.NO_TARGET, "")
        attempts.record(refused)
        self.assertEqual(refused, attempts.final_reply())

    def test_budget_ends_retries(self):
        budget = retries.RetryBudget(tokens=1.0)
        self.assertTrue(budget.try_spend())
        self.assertFalse(budget.try_spend())
        for _request in range(5):
            budget.record_request()
        self.assertTrue(budget.try_spend())


class RoutingTest(testtools.TestCase):
    """Replicas that are caught up come first, the primary last."""

    def order(self, consistency, applied):
        target_views = [
            routing.TargetView("a", "x", Position(1, 9)),
            routing.TargetView("b", "y", Position(1, applied), lag_s=1.0),
            routing.TargetView("c", "z", Position(1, 9)),
        ]
        candidates = routing.order_targets(
            target_views, "a", consistency, Position(1, 9), "y", 0
        )
        return [candidate.target for candidate in candidates]

    def test_session_read(self):
        session = routing.Consistency.SESSION
        self.assertEqual(["b", "c", "a"], self.order(session, 9))
        self.assertEqual(["c", "b", "a"], self.order(session, 8))

    def test_latest_read_goes_to_the_primary(self):
        latest = routing.Consistency.LATEST
        self.assertEqual(["a"], self.order(latest, 9))


class DisseminationTreeTest(testtools.TestCase):
    """The branches of a dissemination tree cover each name once."""

    def test_every_name_is_reached_once(self):
        names = [f"n{number:04}" for number in range(5399)]
        reached = []
        pending = disseminationtree.split_into_branches(names)
        levels = 0
        while pending:
            levels += 1
            following = []
            for branch in pending:
                reached.append(branch.first)
                if len(branch.names) > 1:
                    following += disseminationtree.split_into_branches(
                        names, branch.names[1], branch.last
                    )
            pending = following
        self.assertEqual(names, sorted(reached))
        self.assertLessEqual(levels, 5)


class ViewsTest(testtools.TestCase):
    """Digests differ where terms differ."""

    def test_digest_of_a_changed_group(self):
        held = [views.GroupView(f"g{n}", 1) for n in range(100)]
        changed = [*held[1:], views.GroupView("g0", 2)]
        before = views.bucket_digests(held)
        after = views.bucket_digests(changed)
        differing = [n for n in range(64) if before[n] != after[n]]
        self.assertEqual([views.bucket_of("g0")], differing)
