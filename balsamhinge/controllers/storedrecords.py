"""Names and values of the records that instances keep in the store."""

from balsamhinge.policy import gossipmessages
from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from balsamhinge.policy import revisions

__all__ = [
    "decode_leadership",
    "decode_member",
    "group_key",
    "member_key",
    "record_value",
    "written_revision",
]

# All records have the same kind, so that one call reads them all.
GROUP_PREFIX = "group."
MEMBER_PREFIX = "member."
DUTY_KEY = "duty"
CHALLENGE_KEY = "duty-challenge"
# Field of each record: the incarnation of the store in which it was written.
# After a restore it tells the records of the copy from later ones.
INCARNATION_FIELD = "incarnation"


def group_key(group):
    """Return the name of a group's leadership record in the store."""
    return f"{GROUP_PREFIX}{group}"


def member_key(name):
    """Return the name of an instance's member record in the store."""
    return f"{MEMBER_PREFIX}{name}"


def written_revision(record):
    """Return the revision at which a record was written.

    A record that the store has kept through a restore was written in an
    earlier incarnation than the one in which it is read. Records of a
    release that does not write the incarnation count as current.
    """
    incarnation = record.value.get(INCARNATION_FIELD)
    if incarnation is None:
        return record.revision
    return revisions.compose(incarnation, revisions.number_of(record.revision))


def decode_leadership(record):
    """Return the `Leadership` in a record of the store."""
    value = record.value
    return leases.Leadership(
        group=record.name.removeprefix(GROUP_PREFIX),
        target=value["target"],
        epoch=value["epoch"],
        changing=value["changing"],
        orderly=value["orderly"],
        successor=value.get("successor", ""),
        revision=written_revision(record),
    )


def decode_member(record):
    """Return the `MemberRecord` in a record of the store."""
    value = record.value
    member = ownership.Member(
        record.name.removeprefix(MEMBER_PREFIX),
        value["address"],
        value["data_centre"],
    )
    return gossipmessages.MemberRecord(member, written_revision(record))


def record_value(leadership):
    """Return the value to store for a leadership."""
    return {
        "target": leadership.target,
        "epoch": leadership.epoch,
        "changing": leadership.changing,
        "orderly": leadership.orderly,
        "successor": leadership.successor,
    }
