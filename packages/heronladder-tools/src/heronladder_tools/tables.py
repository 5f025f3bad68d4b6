"""Plain tables for terminals."""


def format_table(heads: list[str], rows: list[list[str]]) -> str:
    """Return rows under their heads, columns as wide as their widest cell."""
    table = [heads, *rows]
    widths = [max(len(row[column]) for row in table) for column in range(len(heads))]
    lines = []
    for row in table:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
