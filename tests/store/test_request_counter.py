"""Classification of requests to the state service by cause."""

from __future__ import annotations

import pytest

from meadowcross.store.request_counter import classify_request
from meadowcross.store.token_bucket import RequestPriority

CAUSES = [
    ("GET", "/kv/j/wk-000001", "GET kv j user"),
    ("GET", "/kv?under=t/&limit=1000", "GET kv t user"),
    ("GET", "/watch?under=&since=4&waitMs=5000", "GET watch all user"),
    ("POST", "/multi", "POST multi - user"),
    ("POST", "/holds/7/renew", "POST holds - user"),
]


@pytest.mark.parametrize(("method", "path", "cause"), CAUSES)
def test_requests_are_classified_by_cause(method, path, cause):
    assert str(classify_request(method, path, RequestPriority.USER)) == cause
