"""Checks that only the platform adapter uses the platform's names."""

import pathlib
import re

import testtools

PACKAGE = pathlib.Path(__file__).parents[2] / "balsamhinge"
# Names of the users' protocols and pages that only the adapter may use.
NAMES = (
    "WAITPOS",
    "STEPDOWN",
    "NODATABASE",
    "INDOUBT",
    "CONNLIMIT",
    "WRONGNODE",
    "service_name",
    "max_conns",
    "sync_replicas",
    "db_role",
    "seq_no",
    "cold_left_ms",
    "route_type",
    "bounded_staleness",
    "max_staleness_ms",
    "target_latency_ms",
    "tx_idle_ms",
    "heartbeat_ms",
    "duty_per_s",
    "fencing_required",
    "node_name",
    "tenants",
    "api_keys",
    "revoke_",
    "quota",
    "/promotion",
    "/balsamhinge/objects",
    "/balsamhinge/readiness",
    "Balsamhinge-Duty-Holder",
    "Balsamhinge-Fencing-Token",
    "Balsamhinge-Target-Instance",
)
PATTERN = re.compile("|".join(re.escape(name) for name in NAMES))


class NamesTest(testtools.TestCase):
    """No name of the users' protocols leaves the adapter."""

    def test_no_name_outside_the_adapter(self):
        violations = []
        for path in PACKAGE.rglob("*.py"):
            if "platform" in path.relative_to(PACKAGE).parts[:1]:
                continue
            lines = path.read_text(encoding="utf-8").splitlines()
            violations += [
                f"{path.name}:{number}: {line.strip()}"
                for number, line in enumerate(lines, 1)
                if PATTERN.search(line)
            ]
        self.assertEqual([], violations)
