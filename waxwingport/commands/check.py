"""``check``: validates settings, declarations and configurations."""

from collections.abc import Iterator
import enum
import pathlib
import sys

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.checks import document as documents
from waxwingport.checks import findings
from waxwingport.checks import report as reports
from waxwingport.configuration import faults
from waxwingport.configuration import files
from waxwingport.platform import documents as reader
from waxwingport import settings

__all__ = [
    'Format',
    'check_configuration',
    'compute_exit_code',
    'find_faults',
    'render',
    'run_command',
]

_EXIT_WARNINGS = 1
_EXIT_ERRORS = 2


class Format(enum.Enum):
    """How a report is printed."""

    JSON = 'json'
    TEXT = 'text'


def find_faults(
    settings_file: pathlib.Path | None, folder: pathlib.Path | None
) -> list[faults.Fault]:
    """Returns every fault of a settings file and of declarations.

    ``folder`` holds the files of the declarations.  Either may be ``None``.
    """
    found: list[faults.Fault] = []
    if settings_file is not None:
        match settings.check_settings(settings_file):
            case Result(tag='error', error=new_faults):
                found += new_faults
    if folder is not None:
        match files.read_directory(folder):
            case Result(tag='error', error=new_faults):
                found += new_faults
    return found


def run_command(
    file: pathlib.Path, against: pathlib.Path | None, output: str, strict: bool
) -> int:
    """Prints the findings about a configuration; returns the exit code."""
    formats = [known.value for known in Format]
    if output not in formats:
        expected = ' or '.join(formats)
        print(f'format is {output!r}; expected {expected}', file=sys.stderr)
        return _EXIT_ERRORS
    match check_configuration(file, against):
        case Result(tag='ok', ok=report):
            print(render(report, Format(output)))
            return compute_exit_code(report, strict)
        case Result(error=reason):
            print(reason, file=sys.stderr)
            return _EXIT_ERRORS


def check_configuration(
    file: pathlib.Path, against: pathlib.Path | None
) -> Result[reports.Report, str]:
    """Returns the findings about the JSON configuration in a file.

    ``against`` is the file of another version; the report has the differences
    from it.  Fails if a file can't be read.
    """
    document = _read(file)
    if against is None:
        return document.map(reports.make_report)
    other = _read(against)
    return document.bind(
        lambda checked: other.map(
            lambda found: reports.compare(checked, found)
        )
    )


def compute_exit_code(report: reports.Report, strict: bool) -> int:
    """Returns 2 for errors, 1 for warnings if ``strict``, otherwise 0."""
    if report.count(findings.Severity.ERROR):
        return _EXIT_ERRORS
    if strict and report.count(findings.Severity.WARNING):
        return _EXIT_WARNINGS
    return 0


def render(report: reports.Report, output: Format) -> str:
    """Returns the text that is printed for a report."""
    if output is Format.JSON:
        return _render_json(report)
    return '\n'.join(_render_text(report))


def _read(path: pathlib.Path) -> Result[documents.Document, str]:
    """Returns the document in a file; reads no more than can be checked."""
    try:
        with path.open('rb') as file:
            value = file.read(reader.MAX_BYTES + 1)
    except OSError as error:
        return Error(f'{path}: {error.strerror or error}')
    return Ok(reader.read_document(value))


def _render_json(report: reports.Report) -> str:
    found = {
        'errors': report.count(findings.Severity.ERROR),
        'warnings': report.count(findings.Severity.WARNING),
        'findings': report.findings,
        'differences': [
            {
                'importance': difference.importance.name.lower(),
                'place': difference.place,
                'in_former': difference.in_former,
                'change': difference.change,
                'effect': difference.effect,
                'revert': difference.revert,
            }
            for difference in report.differences
        ],
    }
    return msgspec.json.format(msgspec.json.encode(found)).decode()


def _render_text(report: reports.Report) -> Iterator[str]:
    yield from map(str, report.findings)
    for difference in report.differences:
        former = ' of the former version' if difference.in_former else ''
        yield f'difference: {difference.place}{former}: {difference.change}'
        yield f'    in progress: {difference.effect}'
        yield f'    revert: {difference.revert}'
    counts = (
        f'errors: {report.count(findings.Severity.ERROR)}',
        f'warnings: {report.count(findings.Severity.WARNING)}',
        f'differences: {len(report.differences)}',
    )
    yield ', '.join(counts)
