"""Edits of the operators' text that keep everything else as it is."""

import iniconfig

from balsamhinge.configuration import checks
from balsamhinge.configuration import findings
from balsamhinge.configuration import plan
from balsamhinge import exceptions

__all__ = ["set_leaving"]

STATE = "state"


def set_leaving(text, target):
    """Return a text in which a target is leaving.

    Parameters
    ----------
    text : str
        The operators' text.
    target : str
        Name of the target.

    Returns
    -------
    str
        Comments and the order of lines are kept.

    Raises
    ------
    ConfigurationError
        If the text has no such target.
    """
    section = f"target {target}"
    ini = iniconfig.IniConfig("configuration", data=text)
    if section not in ini:
        found = findings.FindingList("configuration")
        known = [name for name in ini.sections if name.startswith("target ")]
        remedy = checks.list_known(known)
        found.add(0, section, "the section is missing", remedy)
        raise exceptions.ConfigurationError(found.in_order())
    lines = text.splitlines()
    line = f"{STATE} = {plan.TargetState.LEAVING}"
    if STATE in ini[section]:
        lines[ini.lineof(section, STATE) - 1] = line
    else:
        lines.insert(ini.lineof(section), line)
    return "\n".join(lines) + "\n"
