"""Edits of the configuration that preserve comments and line order."""

import iniconfig

from balsamhinge.configuration import checks
from balsamhinge.configuration import findings
from balsamhinge.configuration import plan
from balsamhinge import exceptions

__all__ = ["set_leaving"]

STATE_KEY = "state"


def set_leaving(text, target):
    """Return the configuration with a target's state set to leaving.

    Parameters
    ----------
    text : str
        The configuration.
    target : str
        Name of the target.

    Returns
    -------
    str
        The edited configuration; all other lines are unchanged.

    Raises
    ------
    ConfigurationError
        If the configuration has no such target.
    """
    section = f"target {target}"
    ini = iniconfig.IniConfig("configuration", data=text)
    if section not in ini:
        finding_list = findings.FindingList("configuration")
        known_sections = [
            name for name in ini.sections if name.startswith("target ")
        ]
        remedy = checks.list_known_names(known_sections)
        finding_list.add(0, section, "the section is missing", remedy)
        raise exceptions.ConfigurationError(finding_list.in_order())
    lines = text.splitlines()
    line = f"{STATE_KEY} = {plan.TargetState.LEAVING}"
    if STATE_KEY in ini[section]:
        lines[ini.lineof(section, STATE_KEY) - 1] = line
    else:
        lines.insert(ini.lineof(section), line)
    return "\n".join(lines) + "\n"
