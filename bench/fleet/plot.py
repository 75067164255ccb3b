"""The curve of the two weights."""

from streamthread.fleet.sizing import Weights

from .buffers import account
from .buffers import shared_spares
from .cases import CASES
from .cases import DAYS

__all__ = ["curve"]

RATIOS = (0, 1, 4, 12, 24, 48, 96, 192, 384)
"""Of the weight of a move to that of an idle instance for an hour."""


def curve(path: str) -> None:
    """Plot buffer against moves over the ratio of the weights, as SVG."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for case in CASES:
        points = []
        for ratio in RATIOS:
            spent = account(case, shared_spares(Weights(1, ratio)))
            points.append((spent.moves, spent.buffer_instance_hours / DAYS / 24))
        moves, buffers = zip(*points, strict=True)
        axes.plot(moves, buffers, "o-", label=case.name)
    axes.set_xlabel(f"moves in {DAYS} days")
    axes.set_ylabel("idle instances on average")
    axes.set_title("Buffer against moves over move_weight / buffer_weight")
    axes.set_yscale("log")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
