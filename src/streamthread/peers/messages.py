"""Generations of the configuration as messages."""

import json

from ..configuration import Change
from ..configuration import Generation
from . import peers_pb2 as pb

__all__ = ["generation_of", "generation_record"]


def generation_record(step: Generation) -> pb.GenerationRecord:
    """Return a generation as a message."""
    changes = [[change.key, change.value] for change in step.changes]
    return pb.GenerationRecord(
        generation=step.number, digest=step.digest, changes_json=json.dumps(changes)
    )


def generation_of(record: pb.GenerationRecord) -> Generation:
    """Return the generation in a message."""
    changes = tuple(
        Change(key, value) for key, value in json.loads(record.changes_json)
    )
    return Generation(record.generation, record.digest, changes)
