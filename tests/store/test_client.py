"""The client of the state service: rate limiting after a rejected request."""

from __future__ import annotations

from meadowcross.store.client import StoreUnavailableError
from meadowcross.store.messages import Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority


def test_rejected_transaction_backs_off_both_buckets(world):
    world.net.hosts["state:1"] = lambda *request: (429, {})
    rates_before = world.store._request_bucket.rate, world.store._write_bucket.rate
    failure = world.run(world.store.transact([], [Put("k", encode_raw(1))], RequestPriority.PLACEMENT))
    assert failure.check(StoreUnavailableError)
    assert world.store._request_bucket.rate < rates_before[0] and world.store._write_bucket.rate < rates_before[1]
