"""Entry's side of rate limits: spends tokens and asks owners for more."""

import asyncio
import collections

import attrs
import logbook

from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import hashing
from balsamhinge.policy import limitmessages
from balsamhinge.policy import limitowners
from balsamhinge.policy import ratelimits

__all__ = ["LimitEntryController"]

# Longer than two round trips between data centres, and short enough that two
# owners without an answer still leave most of the deadline of a statement.
ANSWER_TIMEOUT_S = 0.15
# Reasons of refusals in counters and log lines.
LIMIT = "limit"
NO_OWNER = "no_owner"
DEADLINE = "deadline"
UNKNOWN_CUSTOMER = "unknown_customer"

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class Account:
    """State of one customer at this instance.

    Parameters
    ----------
    customer : str
        Name of the customer.

    Attributes
    ----------
    balance : GrantBalance
        Tokens to spend.
    demand : DemandEstimate
        Demand at this instance.
    waiters : deque of Future
        Operations that wait for a token, in order of arrival.
    remaining : list of str
        Data centres whose owners are still to be asked for the waiters.
    asking : bool
        Whether a request for this customer is under way.
    refused_until : dict of str to float
        By data centre, boot seconds until which its owner is not asked, as
        it had too few tokens.
    not_owned_until : dict of str to float
        The same where the instance that was asked does not grant.
    reason : str
        Reason to refuse if no owner grants tokens for the waiters.
    blocked_until : float
        Boot seconds until which operations are refused without asking.
    preferred : str
        Other data centre whose owner was the last to grant tokens.
    used, asked, granted : int
        Operations admitted, tokens asked for, and tokens received.
    refused : Counter
        Operations refused, by reason.
    """

    customer: str
    balance: ratelimits.GrantBalance = attrs.Factory(ratelimits.GrantBalance)
    demand: ratelimits.DemandEstimate = attrs.Factory(
        ratelimits.DemandEstimate
    )
    waiters: collections.deque = attrs.Factory(collections.deque)
    remaining: list[str] = attrs.Factory(list)
    asking: bool = False
    refused_until: dict[str, float] = attrs.Factory(dict)
    not_owned_until: dict[str, float] = attrs.Factory(dict)
    reason: str = NO_OWNER
    blocked_until: float = float("-inf")
    preferred: str = ""
    used: int = 0
    asked: int = 0
    granted: int = 0
    refused: collections.Counter = attrs.Factory(collections.Counter)

    def count_waiters(self):
        """Return how many operations still wait."""
        self.waiters = collections.deque(
            fut for fut in self.waiters if not fut.done()
        )
        return len(self.waiters)


@attrs.frozen
class Question:
    """A request for one customer to the owner in a data centre."""

    account: Account
    data_centre: str
    needed: int
    expected: int


class LimitEntryController:
    """Admits operations of customers.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    membership : LimitMembership
        Names the owners.
    owner : LimitOwnerController
        The owner's side of this instance.
    """

    def __init__(self, fleet, membership, owner):
        self._fleet = fleet
        self._membership = membership
        self._owner = owner
        self._boot_time = fleet.dependencies.boot_time
        self._availability = limitowners.OwnerAvailability()
        self._accounts = {}
        self._table_version = 0
        self._swept_owners = None
        # Questions of this loop turn, by owner.
        self._outbox = {}

    async def admit(self, name, deadline):
        """Admit an operation; see `CustomerLimitsController.admit`."""
        customer = self._membership.limited_customer(name)
        if customer is None:
            # The key check precedes, so only a customer that was removed
            # just now gets here.
            event(log.info, "limit_refused", reason=UNKNOWN_CUSTOMER)
            raise exceptions.LimitExceeded("the customer is unknown")
        if customer.rate_per_s == float("inf"):
            return
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(name)
        now = self._boot_time()
        account.demand.record(now)
        if not account.waiters and account.balance.take(now) is not None:
            account.used += 1
            return
        while True:
            if now < account.blocked_until and not account.asking:
                raise self._refuse(account, account.reason, now)
            end = await self._wait_token(account, deadline)
            now = self._boot_time()
            if now < end:
                break
            # The instance was suspended between grant and use.
            account.balance.expired += 1
        account.used += 1

    async def _wait_token(self, account, deadline):
        """Wait for a token; return the end of its grant."""
        fut = asyncio.get_running_loop().create_future()
        account.waiters.append(fut)
        if not account.asking:
            self._begin_inquiry(account)
        if fut.done():
            return fut.result()
        try:
            async with asyncio.timeout_at(deadline):
                return await fut
        except TimeoutError:
            raise self._refuse(account, DEADLINE, self._boot_time()) from None

    def _refuse(self, account, reason, now):
        """Count a refusal and return its exception."""
        account.refused[reason] += 1
        retry_after_s = ratelimits.limit_retry_after_s(
            account.blocked_until - now
        )
        event(
            log.info,
            "limit_refused",
            customer=account.customer,
            reason=reason,
            retry_after_s=retry_after_s,
        )
        texts = {
            LIMIT: "limit of the customer reached",
            NO_OWNER: "no owner of the customer's limit answers",
            DEADLINE: "no answer about the customer's limit in time",
        }
        return exceptions.LimitExceeded(
            f"{texts[reason]}, retry after {1000 * retry_after_s:.0f} ms",
            retry_after_s,
        )

    # Questions to owners, one at a time for each customer.

    def _begin_inquiry(self, account):
        account.remaining = self._order_data_centres(account)
        account.reason = NO_OWNER
        self._advance(account)

    def _order_data_centres(self, account):
        """Return the data centres in the order in which to ask owners.

        The order of the others differs between instances, so that they do
        not all ask the same owner first.
        """
        mine = self._fleet.me.data_centre
        name = self._fleet.me.name

        def sort_key(data_centre):
            return (
                data_centre != mine,
                data_centre != account.preferred,
                hashing.hash_text(f"{name}/{data_centre}"),
            )

        return sorted(self._membership.data_centres(), key=sort_key)

    def _advance(self, account):
        """Ask the next owner for the waiters, or refuse them."""
        account.asking = False
        while needed := account.count_waiters():
            now = self._boot_time()
            found = self._next_owner(account, now)
            if found is None:
                self._refuse_waiters(account, now)
                return
            data_centre, member = found
            question = Question(
                account,
                data_centre,
                needed,
                self._count_expected(account, needed, now),
            )
            account.asked += needed + question.expected
            if member.name != self._fleet.me.name:
                account.asking = True
                self._enqueue(member, question)
                return
            allowance = self._owner.grant(
                account.customer, needed, question.expected
            )
            self._apply(question, allowance, now)

    def _next_owner(self, account, now):
        """Return data centre and owner to ask next, or None."""
        while account.remaining:
            data_centre = account.remaining.pop(0)
            if now < account.refused_until.get(data_centre, now):
                account.reason = LIMIT
                continue
            if now < account.not_owned_until.get(data_centre, now):
                continue
            member = self._membership.owners.owner(
                data_centre, account.customer
            )
            if member is None:
                continue
            is_self = member.name == self._fleet.me.name
            if is_self or self._availability.may_ask(member.name, now):
                return data_centre, member
        return None

    def _count_expected(self, account, needed, now):
        """Return how many operations will come until the grant ends."""
        demand = account.demand.rate_per_s(now) * self._lifetime_s(account)
        return max(0, int(demand) - needed - account.balance.count(now))

    def _lifetime_s(self, account):
        customer = self._membership.limited_customer(account.customer)
        if customer is None:
            return 0.0
        return ratelimits.grant_lifetime_s(
            self._fleet.customer_settings,
            customer.rate_per_s,
            len(self._membership.data_centres()),
        )

    def _refuse_waiters(self, account, now):
        retry_at = min(
            (until for until in account.refused_until.values() if until > now),
            default=now + ratelimits.MAX_RETRY_AFTER_S,
        )
        account.blocked_until = now + ratelimits.limit_retry_after_s(
            retry_at - now
        )
        if account.reason == NO_OWNER:
            event(
                log.warning,
                "limit_without_owner",
                customer=account.customer,
                operations=len(account.waiters),
            )
        for fut in account.waiters:
            fut.set_exception(self._refuse(account, account.reason, now))
        account.waiters.clear()

    def _enqueue(self, member, question):
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        _member, questions = self._outbox.setdefault(member.name, (member, []))
        questions.append(question)

    def _flush(self):
        """Send the questions of this loop turn, one message an owner."""
        outbox, self._outbox = self._outbox, {}
        for member, questions in outbox.values():
            self._fleet.spawn(self._ask(member, questions))

    async def _ask(self, member, questions):
        """Ask an owner and apply its reply."""
        request = limitmessages.AllowanceRequest(
            {one.account.customer: one.needed for one in questions},
            {
                one.account.customer: one.expected
                for one in questions
                if one.expected
            },
        )
        asked_at = self._boot_time()
        reply = await self._call(member, request)
        for question in questions:
            self._apply(question, allowance_of(reply, question), asked_at)
            self._advance(question.account)

    async def _call(self, member, request):
        """Return the reply of an owner, or None."""
        try:
            reply = await self._fleet.dependencies.peers.request_allowance(
                member, request, ANSWER_TIMEOUT_S
            )
        except exceptions.PeerUnavailable as exc:
            if self._availability.record_silence(
                member.name, self._boot_time()
            ):
                event(
                    log.notice,
                    "limit_owner_silent",
                    instance=member.name,
                    error=exc,
                )
            return None
        except Exception as exc:
            # Without a result here, the customers would never ask again.
            event(
                log.error,
                "limit_request_failed",
                instance=member.name,
                error=f"{type(exc).__name__} {exc}",
            )
            return None
        if self._availability.record_answer(member.name):
            event(log.notice, "limit_owner_answers", instance=member.name)
        return reply

    def _apply(self, question, allowance, asked_at):
        """Give the tokens of an `Allowance` to those that wait.

        Parameters
        ----------
        question : Question
            What was asked.
        allowance : Allowance or None
            The answer; None if there is none, or the owner does not grant.
        asked_at : float
            Boot seconds of the request, from which the lifetime counts.
        """
        account = question.account
        now = self._boot_time()
        if allowance is None:
            account.not_owned_until[question.data_centre] = (
                now + ratelimits.MAX_RETRY_AFTER_S
            )
            return
        account.reason = LIMIT
        if allowance.tokens:
            account.granted += allowance.tokens
            account.balance.add(
                allowance.tokens, asked_at + self._lifetime_s(account)
            )
            if question.data_centre != self._fleet.me.data_centre:
                account.preferred = question.data_centre
        self._spend_on_waiters(account, now)
        if allowance.tokens < question.needed:
            account.refused_until[question.data_centre] = (
                now + ratelimits.limit_retry_after_s(allowance.retry_after_s)
            )
        else:
            # The owner has more, so those that came meanwhile ask it again.
            account.remaining = self._order_data_centres(account)

    def _spend_on_waiters(self, account, now):
        while account.waiters:
            if account.waiters[0].done():
                account.waiters.popleft()
                continue
            end = account.balance.take(now)
            if end is None:
                return
            account.waiters.popleft().set_result(end)

    def sweep(self):
        """Drop the state of removed customers and owners."""
        table = self._fleet.directory.table
        if table.version != self._table_version:
            self._table_version = table.version
            self._accounts = {
                name: account
                for name, account in self._accounts.items()
                if name in table.customers or account.waiters
            }
        if self._membership.owners is not self._swept_owners:
            self._swept_owners = self._membership.owners
            self._availability.retain_only(self._fleet.leaders.members)

    def describe(self):
        """Return the counters by customer."""
        now = self._boot_time()
        return {
            name: self._describe_account(account, now)
            for name, account in sorted(self._accounts.items())
        }

    def _describe_account(self, account, now):
        customer = self._membership.limited_customer(account.customer)
        return {
            "rate_per_s": customer.rate_per_s if customer else 0.0,
            "burst": customer.burst if customer else 0.0,
            "used": account.used,
            "refused": dict(account.refused),
            "asked": account.asked,
            "granted": account.granted,
            "expired": account.balance.expired,
            "balance": account.balance.count(now),
            "demand_per_s": account.demand.rate_per_s(now),
        }


def allowance_of(reply, question):
    """Return the `Allowance` for a question in a reply, or None."""
    name = question.account.customer
    if reply is None or name in reply.not_owned:
        return None
    retry_after_s = reply.retry_after_s.get(name, 0.0)
    return ratelimits.Allowance(reply.granted.get(name, 0), retry_after_s)
