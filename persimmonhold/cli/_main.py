"""Entry point of the command line."""

import fire

from persimmonhold.cli._commands import Commands


def main() -> None:
    """Run the command named by the process arguments."""
    fire.Fire(Commands, name='persimmonhold')
