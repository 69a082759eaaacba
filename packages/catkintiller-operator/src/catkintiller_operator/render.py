"""Prints results as tables or as JSON documents."""

import json


def print_table(columns: list[str], rows: list[list[object]]) -> None:
    """Prints a table with aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(column), *(len(row[index]) for row in texts)])
        for index, column in enumerate(columns)
    ]
    for row in [columns, *texts]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())


def print_json(document: object) -> None:
    """Prints a JSON document."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_rows(columns: list[str], rows: list[list[object]], as_json: bool) -> None:
    """Prints rows as a table, or as a JSON list of objects."""
    if as_json:
        print_json([dict(zip(columns, row, strict=True)) for row in rows])
    else:
        print_table(columns, rows)
