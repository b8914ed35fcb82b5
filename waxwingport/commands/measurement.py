"""``measure``: finds measurements and formats their reports."""

from collections.abc import Iterable
import pathlib

from rich import bar
from rich import console
from rich import table

from waxwingport.measure import base
from waxwingport.measure import catalogue

__all__ = [
    'ALL',
    'find_measurements',
    'format_figure',
    'list_measurements',
    'plot_report',
    'write_page',
]

ALL = 'all'
"""The name that selects every measurement."""

_BAR_WIDTH_COLUMNS = 40


def list_measurements() -> list[str]:
    """Returns a line with the name and summary of each measurement."""
    return [
        f'{measurement.name:24} {measurement.summary}'
        for measurement in catalogue.MEASUREMENTS.values()
    ]


def find_measurements(name: str) -> list[base.Measurement]:
    """Returns the named measurement, or all for ``ALL``.

    Returns an empty list if the name is unknown.
    """
    if name == ALL:
        return list(catalogue.MEASUREMENTS.values())
    selected = catalogue.MEASUREMENTS.get(name)
    return [selected] if selected else []


def format_figure(figure: base.Figure) -> str:
    """Returns a figure as a line, with its target and whether it is met."""
    line = f'{figure.name:52} {figure.value:14.4f} {figure.unit}'
    if figure.target is None:
        return line
    return f'{line}  ({_format_target(figure)})'


def plot_report(report: base.Report) -> console.Group:
    """Returns a bar chart for each unit that more than one figure has."""
    units: dict[str, list[base.Figure]] = {}
    for figure in report.figures:
        units.setdefault(figure.unit, []).append(figure)
    return console.Group(
        *(
            _plot(unit, figures)
            for unit, figures in units.items()
            if len(figures) > 1
        )
    )


def write_page(
    path: pathlib.Path, reports: Iterable[base.Report], commit: str
) -> None:
    """Writes the reports as a page of Markdown tables."""
    parts = [
        '# Measurements\n\n'
        'Made by `waxwingport measure all --page FILE --commit COMMIT`'
        f' at commit `{commit}`.\n'
    ]
    parts.extend(_format_section(report) for report in reports)
    path.write_text('\n'.join(parts), 'utf-8')


def _format_target(figure: base.Figure) -> str:
    verdict = 'met' if figure.met else 'MISSED'
    return f'{figure.bound.value} {figure.target:g}: {verdict}'


def _plot(unit: str, figures: list[base.Figure]) -> table.Table:
    chart = table.Table('figure', 'value', '', title=unit, box=None)
    largest = max(figure.value for figure in figures)
    for figure in figures:
        value_bar = bar.Bar(largest, 0, figure.value, width=_BAR_WIDTH_COLUMNS)
        chart.add_row(figure.name, f'{figure.value:.4g}', value_bar)
    return chart


def _format_section(report: base.Report) -> str:
    options = report.options
    command = (
        f'waxwingport measure {report.name} '
        f'--seconds {options.seconds:g} --seed {options.seed}'
    )
    summary = catalogue.MEASUREMENTS[report.name].summary
    rows = [
        f'| {figure.name} | {figure.value:.4g} {figure.unit} | '
        f'{_format_target(figure) if figure.target is not None else ""} |'
        for figure in report.figures
    ]
    return '\n'.join(
        [
            f'## {report.name}\n',
            f'{summary[0].upper()}{summary[1:]}. `{command}`\n',
            '| figure | value | target |',
            '| --- | --- | --- |',
            *rows,
            '',
        ]
    )
