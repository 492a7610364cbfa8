"""Runs the command line as `python -m persimmonhold`."""

from persimmonhold.cli import main

if __name__ == '__main__':
    main()
