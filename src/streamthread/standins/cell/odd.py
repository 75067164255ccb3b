"""Parts of answers that no parser takes, beside those that are as documented."""

import json
import typing as t

from aiohttp import web

__all__ = ["ODD_PARTS", "response_with"]

_NESTED = "[" * 5_000 + "]" * 5_000

ODD_PARTS: t.Mapping[str, str] = {
    "nested": _NESTED,
    "nested-field": f'{{"machine":"odd","name":"odd","more":{_NESTED}}}',
    "half-character": '{"machine":"\\ud800","name":"\\ud800"}',
    "number": '{"machine":"odd","capacity":{"cpu":1e999999}}',
    "digits": f'{{"key":"odd","ver":{"9" * 5_000},"capacity":{{"cpu":{"9" * 5_000}}}}}',
    "not-a-number": "NaN",
    "text": '"a] } , \\" b"',
    "array": "[]",
}
"""Texts that stand for one part of a list, by what is odd about them."""


def response_with(
    answer: dict[str, t.Any], odd_part: str, *fields: str
) -> web.Response:
    """Return an answer with a further part at the beginning of some of its lists.

    :param odd_part: a text that need not be JSON; empty: the answer is as it is.
    :param fields: the names of the lists.
    """
    text = json.dumps(answer)
    for field in fields if odd_part else ():
        begin = f'"{field}": ['
        separator = ", " if answer[field] else ""
        text = text.replace(begin, f"{begin}{odd_part}{separator}", 1)
    return web.Response(text=text, content_type="application/json")
