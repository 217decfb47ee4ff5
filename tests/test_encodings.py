"""Encoded messages and records keep their bytes from release to release.

The examples in `encodings.json` were written by an earlier release. A
rolling replacement runs both releases side by side, and records outlast
the processes that wrote them.
"""

import json
import pathlib

import attrs
import msgspec
import testtools

from balsamhinge.controllers import promotions
from balsamhinge.controllers import storedrecords
from balsamhinge.filters import execution
from balsamhinge import interfaces
from balsamhinge.policy import gossipmessages
from balsamhinge.policy import hashing
from balsamhinge.policy import limitmessages
from balsamhinge.policy import loans
from balsamhinge.policy import messages
from balsamhinge.policy import ownership
from balsamhinge.policy import routingdeltas
from balsamhinge.policy import tokens

EXAMPLES = json.loads(
    pathlib.Path(__file__).with_name("encodings.json").read_text("utf-8")
)
MESSAGE_TYPES = {
    "exchange": interfaces.AntiEntropyMessage,
    "work": messages.WorkRequest,
    "reply": messages.Reply,
    "note": gossipmessages.GossipMessage,
    "borrow_request": loans.BorrowRequest,
    "borrow_reply": loans.BorrowReply,
    "run_request": loans.RunRequest,
    "run_reply": loans.RunReply,
    "allowance_request": limitmessages.AllowanceRequest,
    "allowance_reply": limitmessages.AllowanceReply,
    "table_request": routingdeltas.TableRequest,
    "table_reply": routingdeltas.TableReply,
    "routing_change": routingdeltas.RoutingDelta,
    "recorded_answer": execution.RecordedAnswer,
}
NO_WORKLOAD = {"customer": "", "priority": 0, "customer_priority": 0}
# Fields that the examples lack, as a later release has added them, and the
# values that stand for a sender which does not know them. A path leads through
# fields and through each entry of a list or a dict, for which "*" stands.
ADDED_FIELDS = {
    "borrow_request": {
        "workload": NO_WORKLOAD,
        "deadline_s": 0.0,
        "borrower": 0,
    },
    "borrow_reply": {"unreachable": False, "waits_s": []},
    "run_request": {
        "borrow.workload": NO_WORKLOAD,
        "borrow.deadline_s": 0.0,
        "borrow.borrower": 0,
        "borrower": 0,
    },
    "run_reply": {"unreachable": False, "waits_s": [], "waited_s": 0.0},
    "note": {
        "holder_silent_s": 1e9,
        "members_age_s": 1e9,
        "configuration_proof": None,
        "receiver_found_age_s": 1e9,
        "removals": [],
        "receiver_listed_in": -1,
        "restored_s": 0.0,
        "store_incarnation": 0,
        "table_change.customers": {},
        "table_change.removed_customers": [],
        "table_change.changed.*.public": False,
        "table_change.groups.*.synchronous_replicas": 0,
        "acknowledged": {},
        "acknowledged_at_least": {},
        "awaited": {},
        "unsettled": {},
        "may_succeed": True,
        "relinquished": 0,
    },
    "routing_change": {
        "customers": {},
        "removed_customers": [],
        "changed.*.public": False,
        "groups.*.synchronous_replicas": 0,
    },
}
RECORD_TYPES = {
    "text_version": interfaces.ConfigurationVersion,
    "platform_list": interfaces.PlatformInventory,
    "group_record": promotions.GroupRecord,
}
TOKEN_KEY = b"key"


def pop_added(message, path):
    """Remove an added field from a decoded message; return its values."""
    name, _, rest = path.partition(".")
    if not rest:
        return [message.pop(name)]
    inner = [message[name]] if name != "*" else message
    if isinstance(inner, dict):
        inner = inner.values()
    return [value for one in inner for value in pop_added(one, rest)]


def field_names(message_type):
    """Return the sorted names of a class's fields."""
    return sorted(field.name for field in attrs.fields(message_type))


class MessagesTest(testtools.TestCase):
    """Messages between instances, in MessagePack."""

    # Guards against a renamed or retyped field, which an instance of
    # another release would ignore or refuse.
    def test_messages_are_encoded_as_before(self):
        self.assertEqual(set(EXAMPLES["messagepack"]), set(MESSAGE_TYPES))
        for label, message_type in MESSAGE_TYPES.items():
            added = ADDED_FIELDS.get(label, {})
            encoded = bytes.fromhex(EXAMPLES["messagepack"][label])
            raw = msgspec.msgpack.decode(encoded)
            self.assertEqual(
                field_names(message_type),
                sorted([*raw, *(path for path in added if "." not in path)]),
                label,
            )
            decoded = msgspec.msgpack.decode(encoded, type=message_type)
            again = msgspec.msgpack.decode(msgspec.msgpack.encode(decoded))
            for path, default in added.items():
                for value in pop_added(again, path):
                    self.assertEqual(default, value, label)
            self.assertEqual(encoded, msgspec.msgpack.encode(again), label)

    # Guards against a field that an instance of an earlier release refuses.
    def test_unknown_fields_are_ignored(self):
        for label, message_type in MESSAGE_TYPES.items():
            encoded = bytes.fromhex(EXAMPLES["messagepack"][label])
            raw = msgspec.msgpack.decode(encoded) | {"added_later": 1}
            decoded = msgspec.msgpack.decode(
                msgspec.msgpack.encode(raw), type=message_type
            )
            self.assertIsInstance(decoded, message_type, label)

    # Guards against a renamed statement class: its name is sent to hosts.
    def test_statements_are_packed_as_before(self):
        self.assertEqual(
            set(EXAMPLES["statements"]), set(loans.STATEMENT_CLASSES)
        )
        for name, fields in EXAMPLES["statements"].items():
            statement = msgspec.convert(fields, loans.STATEMENT_CLASSES[name])
            self.assertEqual((name, fields), loans.encode_statement(statement))


class RecordsTest(testtools.TestCase):
    """Objects and records in the platform's store."""

    # Guards against a record that the earlier release cannot read.
    def test_objects_are_encoded_as_before(self):
        self.assertEqual(set(EXAMPLES["json"]), set(RECORD_TYPES))
        for label, record_type in RECORD_TYPES.items():
            encoded = EXAMPLES["json"][label].encode()
            raw = msgspec.json.decode(encoded)
            self.assertEqual(field_names(record_type), sorted(raw), label)
            decoded = msgspec.json.decode(encoded, type=record_type)
            self.assertEqual(encoded, msgspec.json.encode(decoded), label)

    # Guards against a renamed key of a primary's or an instance's record.
    def test_leaderships_and_members_are_stored_as_before(self):
        example = EXAMPLES["leadership"]
        record = interfaces.Record(example["name"], 17, example["value"])
        leadership = storedrecords.decode_leadership(record)
        self.assertEqual(
            ("ladder", "ladder-2", 4, True, True, "ladder-3", 17),
            attrs.astuple(leadership),
        )
        self.assertEqual(
            example["value"], storedrecords.record_value(leadership)
        )
        example = EXAMPLES["member"]
        record = interfaces.Record(example["name"], 18, example["value"])
        member = storedrecords.decode_member(record).member
        self.assertEqual(
            ("howrah-1", "10.0.0.1:7001", "howrah", False),
            attrs.astuple(member),
        )

    # Guards against a renamed key, under which nothing would be found.
    def test_keys_are_as_before(self):
        keys = [
            interfaces.CONFIGURATION_KEY,
            interfaces.INSTANCES_KEY,
            storedrecords.DUTY_KEY,
            promotions.group_key("ladder"),
            storedrecords.group_key("ladder"),
            storedrecords.member_key("howrah-1"),
            execution.commit_id("ladder", "t-1"),
        ]
        self.assertEqual(EXAMPLES["keys"], keys)


class AgreementTest(testtools.TestCase):
    """What instances compute alike without asking each other."""

    # Guards against a session that loses its writes at a replacement.
    def test_tokens_are_sealed_as_before(self):
        text = EXAMPLES["token"]
        token = tokens.open_token(text, TOKEN_KEY)
        self.assertEqual(text, tokens.seal_token(token, TOKEN_KEY))

    # Guards against instances that rank hosts or homes differently.
    def test_hashes_and_ranks_are_as_before(self):
        for text, value in EXAMPLES["hashes"].items():
            self.assertEqual(value, hashing.hash_text(text))
        members = [
            ownership.Member(f"howrah-{number}", "", "howrah")
            for number in range(5)
        ]
        ranked = [
            member.name
            for member in ownership.rank_members(members, "ladder-1")
        ]
        self.assertEqual(EXAMPLES["rank"], ranked)
