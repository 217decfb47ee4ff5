"""Tells the story of one request from collected log lines."""

import shlex

import attrs

__all__ = ["BELIEFS", "LogLine", "parse_line", "story"]

# Events that change what a whole instance believes, whatever the group.
BELIEFS = frozenset(
    {
        "configuration_in_force",
        "duty_holder",
        "duty_taken",
        "instance_started",
        "isolated",
        "leases_lapsed",
        "leases_valid",
        "not_isolated",
        "peer_silent",
        "store_lost",
        "store_regained",
        "stopping",
    }
)
# Pairs of events of which the latest one tells how an instance stands,
# however long ago it came.
STANDING = (
    {"leases_lapsed", "leases_valid"},
    {"store_lost", "store_regained"},
    {"isolated", "not_isolated"},
)
# How far before a request's first line its cause is looked for: a change
# of a primary that no instance confirms takes 4 s from the first silence.
BEFORE_S = 5.0
SECONDS_PER_DAY = 86400


@attrs.frozen
class LogLine:
    """One event of one log.

    Parameters
    ----------
    at : str
        Time of the event as it was written.
    source : str
        Name of the file.
    level, event : str
        How grave it is, and what happened.
    fields : dict of str to str
        Its further pairs.
    """

    at: str
    source: str
    level: str
    event: str
    fields: dict

    @property
    def second(self):
        """Return seconds since midnight."""
        hours, minutes, seconds = self.at[11:].rstrip("Z").split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def parse_line(text, source):
    """Return the `LogLine` that a text holds.

    Parameters
    ----------
    text : str
        A line of a log; what a collector wrote before it is passed over.
    source : str
        Name of the file.

    Returns
    -------
    LogLine or None
        None for text that is no event.
    """
    _, found, rest = text.partition("time=")
    if not found:
        return None
    try:
        words = shlex.split(found + rest)
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


def story(lines, request_id):
    """Return what touches a request, in time order.

    Parameters
    ----------
    lines : iterable of LogLine
        Of all instances.
    request_id : str
        The caller's identifier.

    Returns
    -------
    list of LogLine
        The request's own lines, and what its instances believed anew of
        its group and targets from `BEFORE_S` before it until its end.
        Empty if no line has the identifier. How the instances stood
        when it came is told however long ago that began.
    """
    lines = sorted(lines, key=lambda line: line.at)
    own = [one for one in lines if one.fields.get("request_id") == request_id]
    if not own:
        return []
    sources = {one.source for one in own}
    topics = {
        one.fields[key]
        for one in own
        for key in ("group", "target")
        if key in one.fields
    }
    topics |= {
        one.fields["target"]
        for one in lines
        if one.fields.get("group") in topics and "target" in one.fields
    }

    standing = [
        find_latest(lines, source, events, own[0].at)
        for source in sources
        for events in STANDING
    ]

    def explains(line):
        if line.fields.get("request_id", request_id) != request_id:
            return False
        if line in own or line in standing:
            return True
        before_s = (own[0].second - line.second) % SECONDS_PER_DAY
        after = line.at > own[-1].at
        if after or (before_s > BEFORE_S and line.at < own[0].at):
            return False
        named = {line.fields.get("group"), line.fields.get("target")}
        if named & topics:
            return True
        return line.event in BELIEFS and line.source in sources

    return [line for line in lines if explains(line)]


def find_latest(lines, source, events, before):
    """Return the last line of a log with one of some events, or None.

    Parameters
    ----------
    lines : list of LogLine
        In time order.
    source : str
        Name of the log.
    events : set of str
        Any of them.
    before : str
        Time up to which it is looked for.
    """
    found = None
    for line in lines:
        if line.at > before:
            break
        if line.source == source and line.event in events:
            found = line
    return found
