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
    """Returns the declarations of all files of ``folder``.

    A node's settings file in the same directory is ignored.  Fails with every
    fault found, ordered by file and key.
    """
    paths = sorted(folder.glob('*.toml'))
    if not paths:
        message = 'no *.toml file' if folder.is_dir() else 'no such directory'
        return Error([faults.Fault(str(folder), '', message)])
    reader = _DeclarationReader()
    for path in paths:
        match read_toml(path):
            case Result(tag='ok', ok=data):
                if not _is_settings(data):
                    reader.add_file(path, data)
            case Result(error=fault):
                reader.faults.append(fault)
    return reader.finish()


def read_toml(path: pathlib.Path) -> Result[dict[str, object], faults.Fault]:
    """Returns the tables of a TOML file, or why it can't be read."""
    try:
        return Ok(tomllib.loads(path.read_text('utf-8')))
    except OSError as error:
        return Error(faults.Fault(str(path), '', str(error.strerror)))
    except UnicodeDecodeError as error:
        return Error(faults.Fault(str(path), '', f'not valid UTF-8: {error}'))
    except tomllib.TOMLDecodeError as error:
        return Error(faults.Fault(str(path), '', f'not valid TOML: {error}'))


def format_declarations(declared: declarations.Declarations) -> str:
    """Returns the declarations as TOML, without default values."""
    tables = {}
    for kind in keys.KINDS:
        found = getattr(declared, kind)
        if found:
            tables[kind] = msgspec.to_builtins(found)
    return tomli_w.dumps(tables)


def _is_settings(data: dict[str, object]) -> bool:
    return all(isinstance(data.get(key), dict) for key in _SETTINGS_TABLES)


class _DeclarationReader:
    """Collects declarations and faults from several files."""

    def __init__(self) -> None:
        self.faults: list[faults.Fault] = []
        self._declared: dict[keys.Key, keys.Declared] = {}
        self._files: dict[str, str] = {}
        self._broken: set[keys.Key] = set()

    def add_file(self, path: pathlib.Path, data: dict[str, object]) -> None:
        """Adds the tables of one file."""
        file = str(path)
        found = checking.check(data, declarations.Declarations, file)
        self.faults += found
        for kind in keys.KINDS:
            items = data.get(kind, ())
            for item in items if isinstance(items, list) else ():
                self._add_item(file, kind, item)

    def finish(
        self,
    ) -> Result[declarations.Declarations, list[faults.Fault]]:
        """Returns the declarations of all files, or every fault."""
        found = consistency.find_faults(self._declared, broken=self._broken)
        for path, message in found:
            file = self._files[path.rpartition('.')[0]]
            self.faults.append(faults.Fault(file, path, message))
        if self.faults:
            return Error(sorted(set(self.faults)))
        return Ok(keys.assemble(self._declared))

    def _add_item(self, file: str, kind: str, item: object) -> None:
        struct = keys.KINDS[kind]
        if checking.check(item, struct):
            self._add_broken(kind, item)
            return
        value = msgspec.convert(item, struct)
        key = keys.make_key(kind, value.name)
        if key in self._declared:
            path = f'{kind}.{value.name}'
            first_file = self._files[path]
            message = f'is declared twice, first in {first_file}'
            self.faults.append(faults.Fault(file, path, message))
            return
        self._declared[key] = value
        self._files[f'{kind}.{value.name}'] = file

    def _add_broken(self, kind: str, item: object) -> None:
        name = item.get('name') if isinstance(item, dict) else None
        if isinstance(name, str):
            self._broken.add(keys.make_key(kind, name))
