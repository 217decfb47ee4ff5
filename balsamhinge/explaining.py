"""Reconstructs the timeline of one request from log lines."""

import shlex

import attrs

__all__ = ["INSTANCE_EVENTS", "LogLine", "parse_line", "request_timeline"]

# Events about the state of a whole instance, independent of any group.
INSTANCE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "configuration_lease_lapsed",
        "configuration_lease_valid",
        "configuration_not_read",
        "configuration_read",
        "customers_in_force",
        "duty_holder",
        "duty_taken",
        "instance_started",
        "isolated",
        "key_shared",
        "leases_lapsed",
        "leases_valid",
        "limit_grants_allowed",
        "limit_grants_suspended",
        "limit_owner_answers",
        "limit_owner_silent",
        "limit_request_failed",
        "not_isolated",
        "peer_silent",
        "records_current",
        "records_outdated",
        "records_restored",
        "restoration_waits",
        "store_lost",
        "store_regained",
        "store_restored",
        "stopping",
    }
)
# Each of these sets of events reports switches between states: the latest one
# gives the current state, whatever its age.
STATE_EVENTS = (
    {"configuration_in_force"},
    {"configuration_lease_lapsed", "configuration_lease_valid"},
    {"customers_in_force"},
    {"leases_lapsed", "leases_valid"},
    {"store_lost", "store_regained"},
    {"records_outdated", "records_current"},
    {"isolated", "not_isolated"},
)
# Events about the limit of one customer. They occur for each of its refused
# operations, so only the latest one of each instance explains a request.
LIMIT_EVENTS = frozenset({"limit_refused", "limit_without_owner"})
# Events of a request that say that the limit of its customer decided.
LIMIT_DECISIONS = frozenset({"limit_exceeded"})
# Window before the first line of a request that is searched for its cause.
# A failover that no instance confirms takes 4 s from the first missed answer.
LOOKBACK_S = 5.0
SECONDS_PER_DAY = 86400


@attrs.frozen
class LogLine:
    """A parsed log line.

    Parameters
    ----------
    at : str
        Timestamp as written in the line.
    source : str
        Name of the log file.
    level, event : str
        Log level and name of the event.
    fields : dict of str to str
        The remaining key=value pairs.
    """

    at: str
    source: str
    level: str
    event: str
    fields: dict

    @property
    def second(self):
        """Return the time of day in seconds since midnight."""
        hours, minutes, seconds = self.at[11:].rstrip("Z").split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def parse_line(text, source):
    """Parse a line of a log file.

    Parameters
    ----------
    text : str
        Line of a log; a prefix added by a log collector is ignored.
    source : str
        Name of the log file.

    Returns
    -------
    LogLine or None
        None if the text is not an event.
    """
    _, prefix, rest = text.partition("time=")
    if not prefix:
        return None
    try:
        words = shlex.split(prefix + rest)
    except ValueError:
        return None
    pairs = dict(word.split("=", 1) for word in words if "=" in word)
    at, event = pairs.pop("time"), pairs.pop("event", "")
    line = LogLine(at, source, pairs.pop("level", ""), event, pairs)
    try:
        line.second
    except ValueError:
        return None
    return line if event else None


def request_timeline(lines, request_id):
    """Return the log lines that belong to a request or may explain it.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines of all instances.
    request_id : str
        Identifier that the caller gave to the request.

    Returns
    -------
    list of LogLine
        Lines in time order; empty if no line has the identifier. They are
        the lines of the request itself, lines about its group and targets
        that name no other request, and `INSTANCE_EVENTS` of the instances
        that logged it, from `LOOKBACK_S` before its first line to its last.
        The latest `STATE_EVENTS` of these instances before the request
        are included whatever their age, and the latest `LIMIT_EVENTS` of
        the customer of a request that its limit refused.
    """
    lines = sorted(lines, key=lambda line: line.at)
    request_lines = [
        entry
        for entry in lines
        if entry.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    sources = {entry.source for entry in request_lines}
    related_names = {
        entry.fields[key]
        for entry in request_lines
        for key in ("group", "target")
        if key in entry.fields
    }
    # A refusal names the targets that were tried in its failures.
    related_names |= {
        failure.partition(":")[0].strip()
        for entry in request_lines
        for failure in entry.fields.get("failures", "").split(";")
        if ":" in failure
    }
    related_names |= {
        entry.fields["target"]
        for entry in lines
        if entry.fields.get("group") in related_names
        and "target" in entry.fields
    }

    latest_state_lines = [
        find_latest_line(lines, source, events, request_lines[0].at)
        for source in sources
        for events in STATE_EVENTS
    ]
    latest_state_lines += [
        find_latest_line(
            lines,
            entry.source,
            {name},
            entry.at,
            entry.fields.get("customer"),
        )
        for entry in request_lines
        if entry.event in LIMIT_DECISIONS
        for name in LIMIT_EVENTS
    ]

    def is_related(line):
        if line.fields.get("request_id", request_id) != request_id:
            return False
        if line in request_lines or line in latest_state_lines:
            return True
        before_s = (request_lines[0].second - line.second) % SECONDS_PER_DAY
        after = line.at > request_lines[-1].at
        if after or (before_s > LOOKBACK_S and line.at < request_lines[0].at):
            return False
        named = {line.fields.get("group"), line.fields.get("target")}
        if named & related_names:
            return True
        return line.event in INSTANCE_EVENTS and line.source in sources

    return [line for line in lines if is_related(line)]


def find_latest_line(lines, source, events, before, customer=None):
    """Return the latest line of a log with one of `events`, or None.

    Parameters
    ----------
    lines : list of LogLine
        Log lines in time order.
    source : str
        Name of the log file.
    events : set of str
        Names of events to search for.
    before : str
        Timestamp; later lines are ignored.
    customer : str, optional
        Customer that the line must name.
    """
    latest = None
    for line in lines:
        if line.at > before:
            break
        if line.source != source or line.event not in events:
            continue
        if customer in (None, line.fields.get("customer")):
            latest = line
    return latest
