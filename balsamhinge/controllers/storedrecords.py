"""Names and values of the records that instances keep in the store."""

import re
import typing

import attrs
import msgspec

from balsamhinge.policy import addresses
from balsamhinge.policy import gossipmessages
from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from balsamhinge.policy import revisions

__all__ = [
    "ChallengeRecord",
    "DutyRecord",
    "StoredRecords",
    "decode_leadership",
    "decode_member",
    "decode_records",
    "group_key",
    "member_key",
    "next_epoch",
    "record_value",
]

# All records have the same kind, so that one call reads them all.
GROUP_PREFIX = "group."
MEMBER_PREFIX = "member."
DUTY_KEY = "duty"
CHALLENGE_KEY = "duty-challenge"
# Field of each record: the incarnation of the store in which it was written.
# After a restore it tells the records of the copy from later ones.
INCARNATION_FIELD = "incarnation"
# Longer names of instances, groups and targets do not occur.
MAX_WORD_CHARS = 1024
MAX_KEY_CHARS = MAX_WORD_CHARS + len(MEMBER_PREFIX)
MAX_EPOCH = (1 << 53) - 1
# Successor in a change whose record is unreadable; no target has this name.
UNKNOWN_SUCCESSOR = "?"
WORD = re.compile(r"[^\s\x00-\x1f\x7f-\x9f\ud800-\udfff]+")

_Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_WORD_CHARS)]
_Word = typing.Annotated[
    str,
    msgspec.Meta(max_length=MAX_WORD_CHARS, pattern=rf"\A{WORD.pattern}\Z"),
]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]
_Incarnation = typing.Annotated[
    int, msgspec.Meta(ge=0, le=revisions.MAX_INCARNATION)
]
_Revision = typing.Annotated[
    int,
    msgspec.Meta(
        ge=0,
        le=revisions.compose(revisions.MAX_INCARNATION, revisions.MAX_NUMBER),
    ),
]


def group_key(group):
    """Return the name of a group's leadership record in the store."""
    return f"{GROUP_PREFIX}{group}"


def member_key(name):
    """Return the name of an instance's member record in the store."""
    return f"{MEMBER_PREFIX}{name}"


@attrs.frozen
class _StoredValue:
    """Fields of every record.

    Parameters
    ----------
    incarnation : int or None
        Incarnation of the store in which the record was written; None for a
        record of a release that does not write it.
    """

    incarnation: _Incarnation | None = attrs.field(default=None, kw_only=True)


@attrs.frozen
class _LeadershipValue(_StoredValue):
    target: _Word
    epoch: _Count
    changing: bool
    orderly: bool
    successor: _Text = ""


@attrs.frozen
class _MemberValue(_StoredValue):
    address: _Word
    data_centre: _Word


@attrs.frozen
class _DutyValue(_StoredValue):
    holder: _Word


@attrs.frozen
class _ChallengeValue(_StoredValue):
    fence: _Revision
    challenger: _Word


@attrs.frozen
class DutyRecord:
    """The record of the holder of the promotion duty.

    Parameters
    ----------
    holder : str
        Name of the instance; empty if the record is unreadable.
    written_at : int
        Revision at which the record was written, see `_written_revision`.
    revision : int
        Revision of the record in the store.
    """

    holder: str
    written_at: int
    revision: int


@attrs.frozen
class ChallengeRecord:
    """The record of a challenge of that holder.

    Parameters
    ----------
    fence : int
        Fencing token of the challenged holder; 0 if the record is
        unreadable.
    challenger : str
        Name of the instance that challenges.
    revision : int
        Revision of the record in the store.
    """

    fence: int
    challenger: str
    revision: int


@attrs.define
class StoredRecords:
    """The decoded records of a read of the store.

    Parameters
    ----------
    leaderships : list of Leadership
        Of an unreadable record, see `_unreadable_leadership`.
    members : dict of str to MemberRecord
        By name, without unreadable ones.
    unreadable_members : set of str
        Names of instances whose record is unreadable.
    duty : DutyRecord or None
    challenge : ChallengeRecord or None
    errors : dict of str to str
        By name, what is wrong with each unreadable record.
    """

    leaderships: list = attrs.Factory(list)
    members: dict = attrs.Factory(dict)
    unreadable_members: set = attrs.Factory(set)
    duty: DutyRecord | None = None
    challenge: ChallengeRecord | None = None
    errors: dict = attrs.Factory(dict)


def decode_records(records):
    """Decode records, of which other writers may have changed any.

    Parameters
    ----------
    records : iterable of Record
        Records of the kind `interfaces.LEADERS`.

    Returns
    -------
    StoredRecords
    """
    decoded = StoredRecords()
    for record in records:
        try:
            _decode_record(record, decoded)
        except msgspec.ValidationError as exc:
            decoded.errors[record.name] = str(exc)
            _add_unreadable(record, decoded)
    return decoded


def _decode_record(record, decoded):
    if record.name == DUTY_KEY:
        value = _convert(record, _DutyValue)
        decoded.duty = DutyRecord(
            value.holder, _written_revision(record, value), record.revision
        )
    elif record.name == CHALLENGE_KEY:
        value = _convert(record, _ChallengeValue)
        decoded.challenge = ChallengeRecord(
            value.fence, value.challenger, record.revision
        )
    elif record.name.startswith(MEMBER_PREFIX):
        member_record = decode_member(record)
        decoded.members[member_record.member.name] = member_record
    elif record.name.startswith(GROUP_PREFIX):
        decoded.leaderships.append(decode_leadership(record))


def _add_unreadable(record, decoded):
    """Add what an unreadable record stands for, if its name is valid."""
    if record.name == DUTY_KEY:
        decoded.duty = DutyRecord("", record.revision, record.revision)
    elif record.name == CHALLENGE_KEY:
        decoded.challenge = ChallengeRecord(0, "", record.revision)
    elif record.name.startswith(MEMBER_PREFIX):
        name = record.name.removeprefix(MEMBER_PREFIX)
        decoded.unreadable_members.add(name)
    elif _is_word(record.name):
        decoded.leaderships.append(_unreadable_leadership(record))


def _unreadable_leadership(record):
    """Return what an unreadable record of a group stands for.

    The record may have announced any change of the primary. Until it is
    written again, the group is in a change, begun by an unknown instance,
    which may have requested the promotion of any target.
    """
    return leases.Leadership(
        group=record.name.removeprefix(GROUP_PREFIX),
        target="",
        epoch=0,
        changing=True,
        successor=UNKNOWN_SUCCESSOR,
        revision=record.revision,
    )


def _convert(record, value_type):
    """Return the value of a record as a type; checks all its fields.

    Raises
    ------
    msgspec.ValidationError
        If a field or the name of the record is invalid.
    """
    if not _is_word(record.name):
        raise msgspec.ValidationError("the name is no word")
    value = msgspec.convert(record.value, value_type)
    known = revisions.incarnation_of(record.revision)
    if value.incarnation is not None and value.incarnation > known:
        raise msgspec.ValidationError("incarnation is in the future")
    return value


def _is_word(text):
    return len(text) <= MAX_KEY_CHARS and WORD.fullmatch(text) is not None


def _written_revision(record, value):
    """Return the revision at which a record was written.

    A record that the store has kept through a restore was written in an
    earlier incarnation than the one in which it is read. Records of a
    release that does not write the incarnation count as current.
    """
    if value.incarnation is None:
        return record.revision
    return revisions.compose(
        value.incarnation, revisions.number_of(record.revision)
    )


def decode_leadership(record):
    """Return the `Leadership` in a record of the store.

    Raises
    ------
    msgspec.ValidationError
    """
    value = _convert(record, _LeadershipValue)
    return leases.Leadership(
        group=record.name.removeprefix(GROUP_PREFIX),
        target=value.target,
        epoch=value.epoch,
        changing=value.changing,
        orderly=value.orderly,
        successor=value.successor,
        revision=_written_revision(record, value),
    )


def decode_member(record):
    """Return the `MemberRecord` in a record of the store.

    Raises
    ------
    msgspec.ValidationError
    """
    value = _convert(record, _MemberValue)
    if not addresses.is_endpoint(value.address):
        raise msgspec.ValidationError("address is no IP:port")
    member = ownership.Member(
        record.name.removeprefix(MEMBER_PREFIX),
        value.address,
        value.data_centre,
    )
    return gossipmessages.MemberRecord(
        member, _written_revision(record, value)
    )


def next_epoch(epoch):
    """Return the epoch that follows, which stays within what is readable."""
    return min(epoch + 1, MAX_EPOCH)


def record_value(leadership):
    """Return the value to store for a leadership."""
    return {
        "target": leadership.target,
        "epoch": leadership.epoch,
        "changing": leadership.changing,
        "orderly": leadership.orderly,
        "successor": leadership.successor,
    }
