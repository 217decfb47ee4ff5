"""Settings of an instance on the users' platform, in INI format."""

import attrs

from balsamhinge.configuration import parsing
from balsamhinge.logs import LEVELS
from balsamhinge.policy import customers
from balsamhinge.policy import loans
from balsamhinge.policy import ownership

__all__ = ["PlatformSettings"]

DEFAULT_STREAM_PORT = 7455
SECTIONS = {
    "instance": ["name", "data_centre", "data_centres", "grace_s"],
    "customers": [
        "strict_revocation",
        "revocation_ms",
        "limit_window_s",
        "limit_overage",
        "limit_slack",
    ],
    "callers": ["address"],
    "readiness": ["address"],
    "peers": ["address", "stream_port"],
    "platform": ["store", "promotion"],
    "targets": ["queue", "concurrency", "leaving_use_ms"],
    "log": ["level"],
}
# Settings of earlier deployments lack these sections.
OPTIONAL_SECTIONS = ("customers", "targets")
MS_PER_S = 1000.0
DEFAULT_REVOCATION_MS = customers.DEFAULT_REVOCATION_S * MS_PER_S


@attrs.frozen
class PlatformSettings:
    """Settings of one instance.

    Parameters
    ----------
    member : Member
        Name, address for other instances, and data centre.
    grace_s : float
        Seconds between the request to stop and a forced kill.
    stream_port : int
        Port on which every instance of the fleet listens for streams of
        other instances.
    callers, readiness : str
        IP:port on which the instance serves callers, and readiness probes of
        the load balancer.
    store, promotion : str
        IP:port of the platform's object store, and of its promotion calls.
    log_level : str
        Lowest level of the log lines that are written.
    customer_settings : CustomerSettings
        Settings for keys and rate limits.
    target_settings : TargetSettings
        How targets are used, and how statements wait for them.
    """

    member: ownership.Member
    grace_s: float
    stream_port: int
    callers: str
    readiness: str
    store: str
    promotion: str
    log_level: str
    customer_settings: customers.CustomerSettings = (
        customers.CustomerSettings()
    )
    target_settings: loans.TargetSettings = loans.TargetSettings()

    @classmethod
    def from_file(cls, path):
        """Read the settings from a file.

        Raises
        ------
        ConfigurationError
            If the settings are invalid; names every error.
        """
        text = parsing.read_text(path)
        return parsing.build_from(text, str(path), cls._from_ini)

    @classmethod
    def _from_ini(cls, ini, errors):
        parsing.reject_unknown_sections(ini, SECTIONS, errors)
        readers = {
            name: parsing.section_reader(
                ini,
                name,
                SECTIONS[name],
                errors,
                optional=name in OPTIONAL_SECTIONS,
            )
            for name in SECTIONS
        }
        name = readers["instance"].text("name")
        centre = readers["instance"].text("data_centre")
        return cls(
            member=ownership.Member(name, _address(readers["peers"]), centre),
            grace_s=readers["instance"].seconds("grace_s", 6.0, 1, 3600),
            stream_port=readers["peers"].number(
                "stream_port", DEFAULT_STREAM_PORT, 1, parsing.MAX_PORT
            ),
            callers=_address(readers["callers"]),
            readiness=_address(readers["readiness"]),
            store=_address(readers["platform"], "store"),
            promotion=_address(readers["platform"], "promotion"),
            log_level=readers["log"].choice("level", LEVELS, "info"),
            customer_settings=_read_customers(
                readers["customers"],
                readers["instance"].names("data_centres"),
            ),
            target_settings=_read_targets(readers["targets"]),
        )


def _read_customers(reader, data_centres):
    """Return the `CustomerSettings`; missing values switch features off."""
    revocation_ms = reader.decimal(
        "revocation_ms", DEFAULT_REVOCATION_MS, 1, 3_600_000
    )
    return customers.CustomerSettings(
        strict_revocation=reader.flag("strict_revocation", "no"),
        revocation_s=revocation_ms / MS_PER_S,
        limit_window_s=reader.seconds("limit_window_s", 0.0, 0, 3600),
        limit_overage=reader.decimal("limit_overage", 0.0, 0, 10),
        limit_slack=reader.decimal("limit_slack", 0.0, 0, 1_000_000),
        data_centres=tuple(data_centres),
    )


def _read_targets(reader):
    default = loans.TargetSettings()
    leaving_use_ms = reader.decimal(
        "leaving_use_ms", default.leaving_use_s * MS_PER_S, 1, 3_600_000
    )
    return loans.TargetSettings(
        queue=reader.choice("queue", loans.QUEUE_KINDS, default.queue),
        concurrency=reader.choice(
            "concurrency", loans.CONCURRENCY_KINDS, default.concurrency
        ),
        leaving_use_s=leaving_use_ms / MS_PER_S,
    )


def _address(reader, key="address"):
    host, port = reader.address(key)
    return f"{host}:{port}"
