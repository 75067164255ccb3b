"""The fleet's decisions over scripted bursts, waves and rack failures.

Runs the real decision functions on a fake clock with fixed seeds; nothing of a
cluster is played but who needs how much and what fails. Prints a table and, last,
one JSON line an item.
"""

import argparse

from .buffers import buffer_and_moves
from .cases import CASES
from .cases import Item
from .decisions import decisions
from .plot import curve
from .urgent import urgent_starts
from .waves import waves


def main() -> None:
    """Measure every case, or draw the curve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plot", help="write the curve of the weights to this file")
    arguments = parser.parse_args()
    if arguments.plot:
        curve(arguments.plot)
        return
    items: list[Item] = []
    for case in CASES:
        items += [*buffer_and_moves(case), *waves(case), urgent_starts(case)]
    items += decisions()
    for item in items:
        baseline = "" if item.baseline is None else f"baseline {item.baseline:12.2f}"
        print(f"{item.case:<14} {item.measure:<32} {item.value:12.3f}  {baseline}")
    for item in items:
        print(item.line())


if __name__ == "__main__":
    main()
