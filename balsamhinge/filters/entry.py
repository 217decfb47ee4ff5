"""Chain of filters for callers' requests at the entry instance."""

import uuid

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.filters import attempts
from balsamhinge.filters import chain
from balsamhinge.logs import event
from balsamhinge.logs import set_request_id
from balsamhinge import metrics
from balsamhinge.policy import messages
from balsamhinge.policy import routing
from balsamhinge.policy import tokens

__all__ = ["Answer", "EntryChain"]

log = logbook.Logger(__name__)
Consistency = routing.Consistency
Reason = messages.Reason
TransactionStep = messages.TransactionStep


@attrs.frozen
class Answer:
    """Answer to a caller's request.

    Parameters
    ----------
    reply : Reply
        The outcome and the results.
    token : str
        The session token for the next request.
    request_id : str
        The request's identifier.
    """

    reply: messages.Reply
    token: str
    request_id: str


class EntryChain:
    """Chain of filters for a caller's request.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._chain = chain.build_chain(
            [
                self.identify,
                self.measure,
                self.classify,
                self.session,
                attempts.RetryFilter(core),
            ]
        )

    async def __call__(self, req):
        """Serve a request and return an `Answer`.

        Raises
        ------
        InvalidToken
            If the session token was not issued by this system.
        """
        self._core.in_flight += 1
        try:
            reply = await self._chain(req)
        finally:
            self._core.in_flight -= 1
        token = tokens.seal_token(req.session, self._core.options.token_key)
        return Answer(reply, token, req.request_id)

    async def identify(self, req, proceed):
        """Assign a request identifier; refuse new work while stopping."""
        req.request_id = req.request_id or uuid.uuid4().hex
        set_request_id(f"{req.service}/{req.request_id}")
        if not self._core.ready and req.step in (
            TransactionStep.SINGLE,
            TransactionStep.BEGIN,
        ):
            return messages.Reply.not_run(
                Reason.DRAINING, "the instance takes no new work"
            )
        return await proceed(req)

    async def measure(self, req, proceed):
        """Record metrics and a log line for the request."""
        started_at = clock.now()
        reply = await proceed(req)
        duration_s = clock.now() - started_at
        metrics.observe_request(req.service, req.work_class, reply, duration_s)
        event(
            log.debug,
            "request",
            service=req.service,
            work_class=req.work_class,
            outcome=reply.outcome,
            reason=reply.reason,
            attempts=req.attempts,
            seconds=duration_s,
        )
        return reply

    async def classify(self, req, proceed):
        """Look up service and class of work, and set the deadline."""
        plan = self._core.configuration.plan
        service = plan.services.get(req.service)
        req.rules = plan.classes.get(req.work_class)
        if service is None or req.rules is None:
            unknown_kind = "class" if service else "service"
            return messages.Reply.not_run(
                Reason.UNKNOWN_NAME, f"unknown {unknown_kind}"
            )
        req.group = service.group
        timeout_s = req.deadline_s or req.rules.deadline_s
        req.deadline = clock.now() + timeout_s
        if req.max_age_s is None:
            req.max_age_s = req.rules.max_age_s
        return await proceed(req)

    async def session(self, req, proceed):
        """Apply the session token, and add the reply's position to it."""
        if req.token:
            key = self._core.options.token_key
            req.session = tokens.open_token(req.token, key)
        session_position = req.session.position(req.group)
        if req.max_age_s:
            req.consistency = Consistency.AGED
        elif session_position is not None:
            req.consistency = Consistency.SESSION
        reply = await proceed(req)
        if reply.outcome is messages.Outcome.DONE and reply.position.offset:
            req.session = req.session.with_position(req.group, reply.position)
        return reply
