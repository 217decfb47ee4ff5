"""Tests of the story that log lines tell of a request."""

import testtools

from balsamhinge import explaining

__all__ = ["StoryTest"]

LOG = """\
time=2026-12-04T10:00:00.400000Z level=NOTICE event=peer_silent instance=i2
front-1 time=2026-12-04T10:00:00.500000Z level=WARNING event=store_lost \
error="no answer"
time=2026-12-04T10:00:07.000000Z level=WARNING event=primary_judged \
group=g target=t1 silent_s=0.700000
time=2026-12-04T10:00:07.100000Z level=WARNING event=leases_lapsed age_s=2.1
time=2026-12-04T10:00:07.100000Z level=NOTICE event=leadership group=other \
target=t9
time=2026-12-04T10:00:07.200000Z level=INFO event=connection_limit_met \
target=t1 open=2
time=2026-12-04T10:00:07.300000Z level=INFO event=refused request_id=r2 group=g
time=2026-12-04T10:00:07.400000Z level=INFO event=refused request_id=r1 \
group=g failures="t1: no primary \\"now\\""
time=2026-12-04T10:00:09.000000Z level=NOTICE event=leadership group=g \
target=t2
not an event
time=yesterday event=refused request_id=r1
time=2026-12-04T10:00:07.350000Z level=INFO event=refused request_id="r1
"""


class StoryTest(testtools.TestCase):
    """What is told of one request."""

    def lines(self, text, source="a.log"):
        parsed = (
            explaining.parse_line(line, source) for line in text.splitlines()
        )
        return [line for line in parsed if line is not None]

    def told(self, text, request_id="r1"):
        story = explaining.story(self.lines(text), request_id)
        return [line.event for line in story]

    def test_a_story_has_the_request_and_what_led_to_it(self):
        self.assertEqual(
            [
                "store_lost",
                "primary_judged",
                "leases_lapsed",
                "connection_limit_met",
                "refused",
            ],
            self.told(LOG),
        )

    def test_fields_are_read_as_they_were_written(self):
        found = explaining.story(self.lines(LOG), "r1")[-1]
        self.assertEqual('t1: no primary "now"', found.fields["failures"])
        self.assertEqual("INFO", found.level)

    def test_an_unknown_request_has_no_story(self):
        self.assertEqual([], self.told(LOG, "r3"))

    def test_beliefs_of_other_instances_count_for_its_group_only(self):
        lines = self.lines(LOG) + self.lines(
            "time=2026-12-04T10:00:07.3Z level=WARNING event=isolated x=1\n"
            "time=2026-12-04T10:00:07.3Z level=NOTICE event=primary_left "
            "group=g target=t1",
            "b.log",
        )
        told = explaining.story(lines, "r1")
        self.assertEqual(
            ["primary_left"],
            [line.event for line in told if line.source == "b.log"],
        )

    def test_how_its_instance_stood_is_told_however_old(self):
        text = (
            "time=2026-12-04T10:00:00.0Z level=NOTICE event=leases_valid\n"
            "time=2026-12-04T10:00:01.0Z level=WARNING event=leases_lapsed\n"
            "time=2026-12-04T10:00:01.5Z level=NOTICE event=peer_silent\n"
            "time=2026-12-04T10:00:40.0Z level=INFO event=refused "
            "request_id=r1 group=g"
        )
        self.assertEqual(["leases_lapsed", "refused"], self.told(text))

    def test_midnight_divides_no_story(self):
        text = (
            "time=2026-12-04T23:59:59.9Z level=WARNING event=leases_lapsed\n"
            "time=2026-12-05T00:00:00.4Z level=INFO event=refused "
            "request_id=r1 group=g"
        )
        self.assertEqual(["leases_lapsed", "refused"], self.told(text))
