"""Tables for people, JSON for programs."""

from collections import abc
import typing

import msgspec
import rich.console
import rich.table

_CONSOLE = rich.console.Console()


def print_json(value: typing.Any) -> None:
    """Print one JSON document."""
    encoded = msgspec.json.encode(value)
    print(msgspec.json.format(encoded).decode())


def print_table(
    title: str,
    columns: abc.Sequence[str],
    rows: abc.Iterable[abc.Sequence[typing.Any]],
) -> None:
    """Print a table."""
    table = rich.table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    _CONSOLE.print(table)


def print_line(text: str) -> None:
    """Print a line as it is."""
    _CONSOLE.print(text, markup=False, highlight=False)


def is_terminal() -> bool:
    """Whether a person reads the output."""
    return _CONSOLE.is_terminal
