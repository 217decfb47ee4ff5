"""The settings file of one instance and its validation."""

import pathlib

import attrs

from balsamhinge.configuration import parsing
from balsamhinge.logs import LEVELS
from balsamhinge.peers import security
from balsamhinge.policy import ownership

__all__ = ["CallerSettings", "Settings", "TargetSettings"]

SECTIONS = {
    "instance": ["name", "data_centre", "seeds", "stop_patience_s", "seed"],
    "callers": ["address", "token", "tls", "certificate", "key"],
    "operators": ["token"],
    "peers": ["address", "secret", "tls", "certificate", "key", "authority"],
    "platform": ["url", "token"],
    "targets": ["user", "password", "database", "tls", "authority"],
    "sessions": ["key"],
    "log": ["level"],
    "policy": ["baseline", "shares", "probes_per_second"],
}
OPTIONAL_SECTIONS = ("policy", "log")
MIN_SECRET_CHARS = 16
FILE_PREFIX = "file:"


@attrs.frozen
class CallerSettings:
    """Listener for callers; TLS is off if `certificate` is empty."""

    host: str
    port: int
    token: str = attrs.field(repr=False)
    certificate: str = ""
    key: str = ""


@attrs.frozen
class TargetSettings:
    """Login to database targets; TLS is off if `authority` is empty."""

    user: str
    password: str = attrs.field(repr=False)
    database: str
    authority: str = ""


@attrs.frozen
class Settings:
    """Start-up settings of one instance.

    Parameters
    ----------
    member : Member
        Name, address for other instances, and data centre.
    seeds : list of Member
        Instances to contact while the platform is unavailable.
    callers : CallerSettings
        Listener for callers and operators.
    operator_token : str
        Bearer token of operators; empty disables the check.
    peers : PeerSecurity
        Credentials for calls between instances.
    platform_url, platform_token : str
        URL and bearer token of the platform's store.
    targets : TargetSettings
        Login to database targets.
    session_key : bytes
        Key that signs session tokens; the same on all instances.
    log_level : str
        Minimum level of log lines.
    stop_patience_s : int
        Seconds that a graceful stop waits for open requests.
    baseline : bool
        See `balsamhinge.core.Options`.
    shares, seed, probes_per_second : int
        See `balsamhinge.core.Options`.
    """

    member: ownership.Member
    seeds: list[ownership.Member]
    callers: CallerSettings
    operator_token: str = attrs.field(repr=False)
    peers: security.PeerSecurity = attrs.field(repr=False)
    platform_url: str
    platform_token: str = attrs.field(repr=False)
    targets: TargetSettings
    session_key: bytes = attrs.field(repr=False)
    log_level: str
    stop_patience_s: int
    baseline: bool
    shares: int
    seed: int
    probes_per_second: int

    @classmethod
    def from_file(cls, path):
        """Read and validate a settings file.

        Raises
        ------
        ConfigurationError
            If the file has findings; the error holds all of them.
        """
        return cls.from_text(parsing.read_text(path), str(path))

    @classmethod
    def from_text(cls, text, file="settings"):
        """Validate the text of a settings file, see `from_file`."""
        return parsing.build_from(text, file, cls._from_ini)

    @classmethod
    def _from_ini(cls, ini, found):
        parsing.reject_unknown_sections(ini, SECTIONS, found)
        readers = {name: _reader(ini, name, found) for name in SECTIONS}
        instance = readers["instance"]
        peers = readers["peers"]
        name = instance.text("name")
        host, port = peers.address("address")
        centre = instance.text("data_centre")
        policy = readers["policy"]
        platform = readers["platform"]
        return cls(
            member=ownership.Member(name, f"{host}:{port}", centre),
            seeds=_seeds(instance),
            callers=_callers(readers["callers"]),
            operator_token=_secret(readers["operators"], "token"),
            peers=_peers(peers),
            platform_url=platform.text("url"),
            platform_token=_value(platform, "token"),
            targets=_targets(readers["targets"]),
            session_key=_secret(readers["sessions"], "key").encode(),
            log_level=readers["log"].choice("level", LEVELS, "info"),
            stop_patience_s=instance.number("stop_patience_s", 30, 0, 3600),
            baseline=policy.flag("baseline", "no"),
            shares=policy.number("shares", 0, 0, 10_000),
            probes_per_second=policy.number(
                "probes_per_second", 90, 1, 10_000
            ),
            seed=instance.number("seed", 0, 0, 2**31),
        )


def _reader(ini, name, found):
    optional = name in OPTIONAL_SECTIONS
    return parsing.section_reader(ini, name, SECTIONS[name], found, optional)


def _value(reader, key):
    """Return a value; for `file:PATH`, the content of that file."""
    value = reader.text(key, "")
    if not value.startswith(FILE_PREFIX):
        return value
    path = pathlib.Path(value.removeprefix(FILE_PREFIX))
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError as exc:
        reader.add(key, f"{path}: {exc.strerror}", "name a readable file")
        return ""


def _secret(reader, key):
    """Return a secret; a token set to "off" gives an empty one."""
    value = _value(reader, key)
    if value == "off" and key == "token":
        return ""
    if len(value) < MIN_SECRET_CHARS:
        off = " or off" if key == "token" else ""
        reader.add(
            key,
            f"{key} is too short",
            f"give at least {MIN_SECRET_CHARS} characters{off}",
        )
    return value


def _tls_files(reader, keys):
    """Return the paths of TLS files, or empty strings for tls = off."""
    if reader.choice("tls", ["on", "off"], "on") == "off":
        return ["" for _key in keys]
    paths = [reader.text(key) for key in keys]
    for key, path in zip(keys, paths, strict=True):
        if path and not pathlib.Path(path).is_file():
            reader.add(key, f"{path} is no file", "name a PEM file")
    return paths


def _callers(reader):
    host, port = reader.address("address")
    certificate, key = _tls_files(reader, ["certificate", "key"])
    token = _secret(reader, "token")
    return CallerSettings(host, port, token, certificate, key)


def _peers(reader):
    keys = ["certificate", "key", "authority"]
    paths = _tls_files(reader, keys)
    contents = [
        pathlib.Path(path).read_bytes()
        if path and pathlib.Path(path).is_file()
        else b""
        for path in paths
    ]
    return security.PeerSecurity(_secret(reader, "secret"), *contents)


def _targets(reader):
    (authority,) = _tls_files(reader, ["authority"])
    return TargetSettings(
        user=reader.text("user"),
        password=_value(reader, "password"),
        database=reader.text("database", "postgres"),
        authority=authority,
    )


def _seeds(reader):
    seeds = []
    for word in reader.names("seeds"):
        parts = word.split("@")
        if len(parts) != 3:
            reader.add(
                "seeds",
                f"{word!r} is no instance",
                "write name@IP-number:port@data-centre, ...",
            )
            continue
        seeds.append(ownership.Member(*parts))
    return seeds
