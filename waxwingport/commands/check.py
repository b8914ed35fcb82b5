"""``check``: validates settings and declarations."""

import pathlib

from expression import Result

from waxwingport.configuration import faults
from waxwingport.configuration import files
from waxwingport import settings

__all__ = ['find_faults']


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
