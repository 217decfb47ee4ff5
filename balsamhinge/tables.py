"""Tables for people."""

__all__ = ["render"]

GAP = "  "


def render(rows, columns):
    """Return rows as a table with a heading.

    Parameters
    ----------
    rows : list of dict
        One for each line.
    columns : list of str
        Keys, in order.

    Returns
    -------
    str
    """
    lines = [columns]
    lines += [[cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        GAP.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def cell(value):
    """Return a value as a table shows it."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.3f}"
        case list():
            return ",".join(map(str, value))
        case _:
            return str(value)
