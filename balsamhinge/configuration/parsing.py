"""Parsing of the operators' configuration, which is an INI text."""

import datetime
import ipaddress
import pathlib

import iniconfig

from balsamhinge.configuration import checks
from balsamhinge.configuration import findings
from balsamhinge.configuration import plan
from balsamhinge import exceptions

__all__ = [
    "SectionReader",
    "build_from",
    "parse_plan",
    "read_ini",
    "read_text",
    "reject_unknown_sections",
    "section_reader",
]

MAX_PORT = 65535
MILLISECONDS_PER_SECOND = 1000
SECTION_KEYS = {
    "service": ["group", "depends_on", "shutdown"],
    "class": ["kind", "repeatable", "length", "deadline_ms", "max_age_ms"],
    "group": ["targets"],
    "target": ["address", "data_centre", "connections", "slots", "state"],
}


def parse_plan(text, file="configuration"):
    """Parse a configuration.

    Parameters
    ----------
    text : str
        The configuration.
    file : str
        Name that findings give for it.

    Returns
    -------
    Plan

    Raises
    ------
    ConfigurationError
        With every finding, if there is any.
    """

    def build(ini, finding_list):
        parsed = _parse_sections(ini, finding_list)
        checks.check_plan(parsed, finding_list)
        return parsed

    return build_from(text, file, build)


def read_text(path):
    """Return the content of a file.

    Raises
    ------
    ConfigurationError
        If the file is not UTF-8; the finding names the line and the byte.
    OSError
        If the file cannot be read.
    """
    data = pathlib.Path(path).read_bytes()
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as exc:
        finding_list = findings.FindingList(str(path))
        finding_list.add(
            data.count(b"\n", 0, exc.start) + 1,
            "",
            f"byte {exc.start + 1} is not UTF-8",
            "save the text as UTF-8",
        )
        raise exceptions.ConfigurationError(finding_list.found) from exc


def build_from(text, file, build):
    """Return the result of `build(ini, finding_list)` for an INI text.

    Raises
    ------
    ConfigurationError
        With every finding, if there is any.
    """
    finding_list = findings.FindingList(file)
    ini = read_ini(text, finding_list)
    built = build(ini, finding_list) if ini else None
    if finding_list.found:
        raise exceptions.ConfigurationError(finding_list.in_order())
    return built


def read_ini(text, finding_list):
    """Return the parsed INI text, or None after recording a finding."""
    try:
        return iniconfig.IniConfig(finding_list.file, data=text)
    except iniconfig.ParseError as exc:
        finding_list.add(exc.lineno + 1, "", str(exc.msg), "write valid INI")
        return None


def reject_unknown_sections(ini, known, finding_list):
    """Record a finding for each section whose name is not in `known`."""
    for section in ini:
        if section.name not in known:
            expected = ", ".join(known)
            finding_list.add(
                ini.lineof(section.name),
                section.name,
                "unknown section",
                f"use: {expected}",
            )


def section_reader(ini, name, keys, finding_list, optional=False):
    """Return a reader for a section; a missing section has no keys.

    Parameters
    ----------
    ini : iniconfig.IniConfig
        The parsed INI text.
    name : str
        Name of the section.
    keys : list of str
        Keys that the section may have.
    finding_list : FindingList
        Receives the findings.
    optional : bool
        Whether the section may be missing.

    Returns
    -------
    SectionReader
    """
    if name not in ini.sections and not optional:
        finding_list.add(0, name, "the section is missing", f"add [{name}]")
    reader = SectionReader(ini, _OptionalSection(ini, name), finding_list)
    reader.reject_unknown_keys(keys)
    return reader


class _OptionalSection:
    """A section that has no keys if it is missing from the file."""

    def __init__(self, ini, name):
        self.name = name
        self._ini = ini
        self._values = ini.sections.get(name, {})

    def __iter__(self):
        return iter(self._values)

    def __contains__(self, key):
        return key in self._values

    def get(self, key):
        return self._values.get(key)

    def lineof(self, key):
        return self._ini.lineof(self.name, key)


def _parse_sections(ini, finding_list):
    parsed = plan.Plan()
    for section in ini:
        kind, _, name = section.name.partition(" ")
        reader = SectionReader(ini, section, finding_list)
        if kind not in SECTION_KEYS or not name.strip():
            kinds = ", ".join(SECTION_KEYS)
            reader.add("", "unknown section", f"use one of: {kinds}, a name")
            continue
        reader.reject_unknown_keys(SECTION_KEYS[kind])
        name = name.strip()
        match kind:
            case "service":
                parsed.services[name] = _build_service(name, reader)
            case "class":
                parsed.classes[name] = _build_work_class(name, reader)
            case "group":
                targets = tuple(reader.names("targets", required=True))
                parsed.groups[name] = plan.Group(name, targets, reader.line)
            case "target":
                parsed.targets[name] = _build_target(name, reader)
    return parsed


class SectionReader:
    """Reads and validates the values of one section.

    Parameters
    ----------
    ini : iniconfig.IniConfig
        The parsed INI text.
    section : iniconfig.SectionWrapper
        The section to read.
    finding_list : FindingList
        Receives the findings.
    """

    def __init__(self, ini, section, finding_list):
        self._ini = ini
        self._section = section
        self._finding_list = finding_list
        self.line = (ini.lineof(section.name) or 0) if section else 0

    def add(self, key, problem, remedy=""):
        """Record a finding at a key, or at the section if `key` is ""."""
        line = self.line
        if key and key in self._section:
            line = self._section.lineof(key)
        self._finding_list.add(line, self._section.name, problem, remedy)

    def reject_unknown_keys(self, known):
        """Record a finding for each key that is not in `known`."""
        for key in self._section:
            if key not in known:
                expected = ", ".join(known)
                self.add(key, f"unknown key {key}", f"use one of: {expected}")

    def text(self, key, default=None):
        """Return a text value, which is required if `default` is None."""
        value = self._section.get(key)
        if value is not None and value.strip():
            return value.strip()
        if default is None:
            self.add("", f"{key} is missing", f"add {key} = ...")
            return ""
        return default

    def names(self, key, required=False):
        """Return the names in a comma-separated value."""
        value = self.text(key, None if required else "")
        words = [word.strip() for word in value.split(",")]
        return [word for word in words if word]

    def choice(self, key, options, default):
        """Return a value that has to be one of `options`."""
        value = self.text(key, default)
        if value not in options:
            expected = " or ".join(options)
            self.add(key, f"{key} is {value!r}", f"write {expected}")
            return default
        return value

    def flag(self, key, default):
        """Return whether a "yes" or "no" value is "yes"."""
        return self.choice(key, ["yes", "no"], default) == "yes"

    def number(self, key, default, min_value, max_value):
        """Return a whole number between `min_value` and `max_value`."""
        value = self.text(key, str(default))
        if not value.isdigit() or not min_value <= int(value) <= max_value:
            self.add(
                key,
                f"{key} is {value!r}",
                f"write a whole number from {min_value} to {max_value}",
            )
            return default
        return int(value)

    def seconds(self, key, default, min_value, max_value):
        """Return a number of seconds between `min_value` and `max_value`."""
        return self.decimal(key, default, min_value, max_value, "of seconds ")

    def decimal(self, key, default, min_value, max_value, unit=""):
        """Return a number between `min_value` and `max_value`.

        Parameters
        ----------
        key : str
            Key of the value.
        default, min_value, max_value : float
            Value of a missing key, and the accepted range.
        unit : str
            Unit that a finding names, for instance "of seconds ".
        """
        value = self.text(key, str(default))
        try:
            if min_value <= float(value) <= max_value:
                return float(value)
        except ValueError:
            pass
        self.add(
            key,
            f"{key} is {value!r}",
            f"write a number {unit}from {min_value} to {max_value}",
        )
        return default

    def day(self, key):
        """Return an ISO 8601 date, or None if the key has no value."""
        value = self.text(key, "")
        if not value:
            return None
        try:
            return datetime.date.fromisoformat(value)
        except ValueError:
            self.add(key, f"{key} is {value!r}", "write YYYY-MM-DD")
            return None

    def address(self, key):
        """Return an IP address and a port, or ("", 0) if invalid."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(host)
            if 0 < int(port) <= MAX_PORT:
                return host, int(port)
        except ValueError:
            pass
        if value:
            self.add(key, f"{key} is {value!r}", "write IP-number:port")
        return "", 0


def _build_service(name, reader):
    return plan.Service(
        name=name,
        group=reader.text("group"),
        depends_on=tuple(reader.names("depends_on")),
        shutdown=reader.day("shutdown"),
        line=reader.line,
    )


def _build_work_class(name, reader):
    return plan.WorkClass(
        name=name,
        write=reader.choice("kind", ["read", "write"], "read") == "write",
        repeatable=reader.flag("repeatable", "no"),
        long=reader.choice("length", ["short", "long"], "short") == "long",
        deadline_s=reader.number("deadline_ms", 2000, 10, 600_000)
        / MILLISECONDS_PER_SECOND,
        max_age_s=reader.number("max_age_ms", 0, 0, 86_400_000)
        / MILLISECONDS_PER_SECOND,
    )


def _build_target(name, reader):
    host, port = reader.address("address")
    return plan.Target(
        name=name,
        host=host,
        port=port,
        data_centre=reader.text("data_centre"),
        connections=reader.number("connections", 20, 1, 10_000),
        slots=reader.number("slots", 3, 1, 1_000),
        state=plan.TargetState(
            reader.choice("state", list(plan.TargetState), "active")
        ),
        line=reader.line,
    )
