"""Plain-text tables for terminal output."""

__all__ = ["render"]

COLUMN_SEPARATOR = "  "


def render(rows, columns):
    """Format rows as a table with a header line.

    Parameters
    ----------
    rows : list of dict
        Values by column name; a missing value is shown as "-".
    columns : list of str
        Column names, in display order.

    Returns
    -------
    str
    """
    lines = [columns]
    lines += [[format_cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_SEPARATOR.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_cell(value):
    """Return the text of a value in a table cell."""
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
