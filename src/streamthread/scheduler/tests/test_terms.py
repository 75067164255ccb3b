"""The terms of a job are in its row."""

import json

import msgspec
import pytest

from streamthread.platform.manifest import AdvicePolicy
from streamthread.scheduler import decode_row
from streamthread.scheduler import encode_definition
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job

JOB_ID = "a" * 16
BODY = b'{"spec":"","steps":[{}]}'


class TestRow:
    # Guards against a holder that knows less of a job than the one that accepted it.
    @pytest.mark.parametrize("advice", [None, AdvicePolicy(0.02, 0.002, 4.0)])
    def test_has_all_terms(self, advice: AdvicePolicy | None) -> None:
        terms = JobTerms("r", "desk", 1, 4, 1.6, 0.6, "ann", advice)
        row = encode_definition(new_job(JOB_ID, terms, BODY))
        assert decode_row(JOB_ID, row).terms == terms

    # Guards against a job without tickets that an earlier version accepted.
    def test_of_an_earlier_version_says_nothing_of_advice(self) -> None:
        terms = JobTerms("r", "desk", advice=None)
        row = json.loads(encode_definition(new_job(JOB_ID, terms, BODY)))
        del row["advice"]
        old = decode_row(JOB_ID, json.dumps(row).encode())
        assert old.terms.advice is msgspec.UNSET
