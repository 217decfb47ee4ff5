"""Tests of the settings that the platform renders from the template."""

import pathlib
import re

import testtools

from balsamhinge.configuration import parsing
from balsamhinge import exceptions
from balsamhinge.platform import settings
from balsamhinge.policy import customers
from balsamhinge.policy import loans

__all__ = ["PlatformSettingsTest"]

TEMPLATE = pathlib.Path(__file__).parents[2] / "deploy" / "settings.ini"
VALUES = {
    "node_name": "howrah-1",
    "zone": "howrah",
    "bounds.grace_s": "6",
    "listen.front": "127.0.0.1:1",
    "listen.ready": "127.0.0.1:2",
    "ip": "127.0.0.1",
    "internal_ports.0": "3",
    "internal_ports.1": "4",
    "platform.address": "127.0.0.1:5",
    "cloud.address": "127.0.0.1:6",
}
BOUNDS = {
    "bounds.revoke_strict": "True",
    "bounds.revoke_ms": "5000",
    "bounds.quota_window_s": "5",
    "bounds.quota_overage": "0.1",
    "bounds.quota_slack": "20",
}


def render(values, zones=()):
    """Return the template with values, as the platform renders it."""

    def render_block(match):
        name, content = match.groups()
        if name == "zones":
            return ",".join(zones)
        return content if name in values else ""

    def render_inverted(match):
        name, content = match.groups()
        return "" if name in values else content

    text = TEMPLATE.read_text(encoding="utf-8")
    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", render_inverted, text)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", render_block, text)
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda match: values.get(match[1], ""), text
    )


def read(text):
    """Return the `PlatformSettings` of an INI text."""
    return parsing.build_from(
        text, "settings", settings.PlatformSettings._from_ini
    )


class PlatformSettingsTest(testtools.TestCase):
    """Settings for customers."""

    # Guards against a queue that cannot be turned off for a comparison, and
    # against a misspelt value that silently means the default.
    def test_queue_and_concurrency_of_targets_are_read(self):
        before, _, after = render(VALUES).partition("[targets]")
        text = before + after[after.index("[log]") :]
        self.assertEqual(loans.TargetSettings(), read(text).target_settings)
        chosen = "[targets]\nqueue = first_come\nconcurrency = learned\n"
        self.assertEqual(
            loans.TargetSettings("first_come", "learned"),
            read(f"{text}\n{chosen}").target_settings,
        )
        with testtools.ExpectedException(exceptions.ConfigurationError):
            read(f"{text}\n[targets]\nqueue = fifo\n")
        chosen = "[targets]\nleaving_use_ms = 2500\n"
        self.assertEqual(
            loans.TargetSettings(leaving_use_s=2.5),
            read(f"{text}\n{chosen}").target_settings,
        )

    # Guards against a deployment without limits of customers that is served
    # in another way than before.
    def test_queues_are_ordered_where_customers_have_limits(self):
        self.assertEqual(
            loans.TargetSettings("first_come"),
            read(render(VALUES)).target_settings,
        )
        self.assertEqual(
            loans.TargetSettings("ordered"),
            read(render(VALUES | BOUNDS)).target_settings,
        )

    # Guards against a deployment without customers that gets a lease or
    # limits, or does not start, because the platform renders empty values.
    def test_absent_values_switch_everything_off(self):
        without_section, _, _rest = render(VALUES).partition("[customers]")
        for text in (
            render(VALUES),
            without_section + "[log]\nlevel = info\n",
        ):
            self.assertEqual(
                customers.CustomerSettings(), read(text).customer_settings
            )

    # Guards against milliseconds that are taken for seconds.
    def test_values_of_the_platform_are_converted(self):
        text = render(VALUES | BOUNDS, ["howrah", "sealdah"])
        self.assertEqual(
            customers.CustomerSettings(
                strict_revocation=True,
                revocation_s=5.0,
                limit_window_s=5.0,
                limit_overage=0.1,
                limit_slack=20.0,
                data_centres=("howrah", "sealdah"),
            ),
            read(text).customer_settings,
        )
