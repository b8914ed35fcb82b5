"""Writes the generated pages of docs/reference.

Run it after a change to a struct of the settings or declarations.
"""

import pathlib

from waxwingport.commands import reference

_FOLDER = pathlib.Path(__file__).parent.parent / 'docs' / 'reference'


def main() -> None:
    """Writes every generated page."""
    _FOLDER.mkdir(parents=True, exist_ok=True)
    pages = {
        'declarations.md': reference.write_declarations_page(),
        'gateway.md': reference.write_gateway_page(),
        'settings.md': reference.write_settings_page(),
    }
    for name, text in pages.items():
        (_FOLDER / name).write_text(text, 'utf-8')


if __name__ == '__main__':
    main()
