"""Prints tables for people and JSON for programs."""

from collections import abc
import typing

import msgspec
import rich.console
import rich.table

_CONSOLE = rich.console.Console()


def print_json(document: typing.Any) -> None:
    """Print a value as an indented JSON document."""
    encoded = msgspec.json.encode(document)
    print(msgspec.json.format(encoded).decode())


def print_table(
    title: str,
    columns: abc.Sequence[str],
    rows: abc.Iterable[abc.Sequence[typing.Any]],
) -> None:
    """Print a table with a title and column heads."""
    table = rich.table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    _CONSOLE.print(table)


def print_line(text: str) -> None:
    """Print a line without markup or highlighting."""
    _CONSOLE.print(text, markup=False, highlight=False)


def is_terminal() -> bool:
    """Whether standard output is a terminal."""
    return _CONSOLE.is_terminal
