"""The settings of an instance on the users' platform, in INI."""

import attrs

from balsamhinge.configuration import parsing
from balsamhinge.logs import LEVELS
from balsamhinge.policy import ownership

__all__ = ["PlatformSettings"]

SECTIONS = {
    "instance": ["name", "data_centre", "grace_s"],
    "callers": ["address"],
    "readiness": ["address"],
    "peers": ["address"],
    "platform": ["store", "promotion"],
    "log": ["level"],
}


@attrs.frozen
class PlatformSettings:
    """What one instance is told when it starts.

    Parameters
    ----------
    member : Member
        Name, address for other instances, and data centre.
    grace_s : float
        Seconds between the order to stop and the end by force.
    callers, readiness : str
        IP:port where callers, and the balancer's questions, come in.
    store, promotion : str
        IP:port of the platform's store, and of its promotions.
    log_level : str
        Least level of log lines.
    """

    member: ownership.Member
    grace_s: float
    callers: str
    readiness: str
    store: str
    promotion: str
    log_level: str

    @classmethod
    def from_file(cls, path):
        """Return the settings in a file.

        Raises
        ------
        ConfigurationError
            With every finding.
        """
        text = parsing.read_text(path)
        return parsing.build_from(text, str(path), cls._from_ini)

    @classmethod
    def _from_ini(cls, ini, found):
        parsing.reject_unknown_sections(ini, SECTIONS, found)
        read = {
            name: parsing.section_reader(ini, name, SECTIONS[name], found)
            for name in SECTIONS
        }
        name = read["instance"].text("name")
        centre = read["instance"].text("data_centre")
        return cls(
            member=ownership.Member(name, _address(read["peers"]), centre),
            grace_s=read["instance"].seconds("grace_s", 6.0, 1, 3600),
            callers=_address(read["callers"]),
            readiness=_address(read["readiness"]),
            store=_address(read["platform"], "store"),
            promotion=_address(read["platform"], "promotion"),
            log_level=read["log"].choice("level", LEVELS, "info"),
        )


def _address(reader, key="address"):
    host, port = reader.address(key)
    return f"{host}:{port}"
