"""Decisions without I/O: sockets, clock and randomness stay outside."""

from balsamhinge.policy.admission import AdmissionQueue
from balsamhinge.policy.admission import Limits
from balsamhinge.policy.admission import Ticket
from balsamhinge.policy.disseminationtree import split_into_branches
from balsamhinge.policy.freshness import PrimaryHistory
from balsamhinge.policy.majorities import has_majority
from balsamhinge.policy.majorities import next_voters
from balsamhinge.policy.messages import Outcome
from balsamhinge.policy.messages import Reason
from balsamhinge.policy.messages import Reply
from balsamhinge.policy.messages import Statement
from balsamhinge.policy.messages import TargetStatus
from balsamhinge.policy.messages import WorkRequest
from balsamhinge.policy.outcomes import next_step
from balsamhinge.policy.ownership import Member
from balsamhinge.policy.ownership import OwnerRankings
from balsamhinge.policy.positions import covers
from balsamhinge.policy.positions import LogPosition
from balsamhinge.policy.promotion import choose_candidate
from balsamhinge.policy.promotion import find_leader
from balsamhinge.policy.routing import order_targets
from balsamhinge.policy.tokens import open_token
from balsamhinge.policy.tokens import seal_token
from balsamhinge.policy.tokens import SessionToken
from balsamhinge.policy.views import GroupView

__all__ = [
    "AdmissionQueue",
    "GroupView",
    "Limits",
    "LogPosition",
    "Member",
    "Outcome",
    "OwnerRankings",
    "PrimaryHistory",
    "Reason",
    "Reply",
    "SessionToken",
    "Statement",
    "TargetStatus",
    "Ticket",
    "WorkRequest",
    "choose_candidate",
    "covers",
    "find_leader",
    "has_majority",
    "next_step",
    "next_voters",
    "open_token",
    "order_targets",
    "seal_token",
    "split_into_branches",
]
