"""Runs the command line as ``python -m streamthread``."""

from .cli import main

raise SystemExit(main())
