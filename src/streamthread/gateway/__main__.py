"""Runs a cell's daemon as ``python -m streamthread.gateway``."""

from .main import main

raise SystemExit(main())
