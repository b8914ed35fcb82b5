"""Reads declarations from the ``*.toml`` files of a directory."""

import pathlib
import tomllib

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import tomli_w

from waxwingport.configuration import checking
from waxwingport.configuration import consistency
from waxwingport.configuration import declarations
from waxwingport.configuration import faults
from waxwingport.configuration import keys

__all__ = ['format_declarations', 'read_directory', 'read_toml']

_SETTINGS_TABLES = ('node', 'platform')


def read_directory(
    folder: pathlib.Path,
) -> Result[declarations.Declarations, list[faults.Fault]]:
    """Returns what the files of ``folder`` declare together.

    A node's settings may lie beside them and are left out.  Fails with every
    fault found, ordered by file and key.
    """
    paths = sorted(folder.glob('*.toml'))
    if not paths:
        what = 'no *.toml file' if folder.is_dir() else 'no such directory'
        return Error([faults.Fault(str(folder), '', what)])
    reading = _Reading()
    for path in paths:
        match read_toml(path):
            case Result(tag='ok', ok=data):
                if not _is_settings(data):
                    reading.take(path, data)
            case Result(error=fault):
                reading.faults.append(fault)
    return reading.finish()


def read_toml(path: pathlib.Path) -> Result[dict[str, object], faults.Fault]:
    """Returns the tables of a TOML file."""
    try:
        return Ok(tomllib.loads(path.read_text('utf-8')))
    except OSError as error:
        return Error(faults.Fault(str(path), '', str(error.strerror)))
    except UnicodeDecodeError as error:
        return Error(faults.Fault(str(path), '', f'no UTF-8: {error}'))
    except tomllib.TOMLDecodeError as error:
        return Error(faults.Fault(str(path), '', f'no TOML: {error}'))


def format_declarations(declared: declarations.Declarations) -> str:
    """Returns the declarations as TOML, defaults left out."""
    tables = {}
    for kind in keys.KINDS:
        rows = getattr(declared, kind)
        if rows:
            tables[kind] = msgspec.to_builtins(rows)
    return tomli_w.dumps(tables)


def _is_settings(data: dict[str, object]) -> bool:
    return all(isinstance(data.get(key), dict) for key in _SETTINGS_TABLES)


class _Reading:
    """Collects rows and faults over several files."""

    def __init__(self) -> None:
        self.faults: list[faults.Fault] = []
        self._rows: dict[keys.Key, keys.Declared] = {}
        self._files: dict[str, str] = {}
        self._broken: set[keys.Key] = set()

    def take(self, path: pathlib.Path, data: dict[str, object]) -> None:
        """Takes the tables of one file."""
        file = str(path)
        found = checking.check(data, declarations.Declarations, file)
        self.faults += found
        for kind in keys.KINDS:
            rows = data.get(kind, ())
            for row in rows if isinstance(rows, list) else ():
                self._take_row(file, kind, row)

    def finish(
        self,
    ) -> Result[declarations.Declarations, list[faults.Fault]]:
        """Returns the declarations, or every fault."""
        found = consistency.find_faults(self._rows, broken=self._broken)
        for path, what in found:
            file = self._files[path.rpartition('.')[0]]
            self.faults.append(faults.Fault(file, path, what))
        if self.faults:
            return Error(sorted(set(self.faults)))
        return Ok(keys.assemble(self._rows))

    def _take_row(self, file: str, kind: str, row: object) -> None:
        struct = keys.KINDS[kind]
        if checking.check(row, struct):
            self._keep_name(kind, row)
            return
        value = msgspec.convert(row, struct)
        key = keys.make_key(kind, value.name)
        if key in self._rows:
            path = f'{kind}.{value.name}'
            where = self._files[path]
            what = f'is declared a second time, first in {where}'
            self.faults.append(faults.Fault(file, path, what))
            return
        self._rows[key] = value
        self._files[f'{kind}.{value.name}'] = file

    def _keep_name(self, kind: str, row: object) -> None:
        name = row.get('name') if isinstance(row, dict) else None
        if isinstance(name, str):
            self._broken.add(keys.make_key(kind, name))
