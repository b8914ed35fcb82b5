"""Runs the command line with ``python -m waxwingport``."""

from waxwingport import cli

if __name__ == '__main__':
    cli.main()
