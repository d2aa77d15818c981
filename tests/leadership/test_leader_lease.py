"""How long a node can be certain of its leader lease."""

from __future__ import annotations

import pytest

from meadowcross.leadership.leader_lease import LeaderLease

TTL_S = 3.0


@pytest.fixture
def lease(world):
    return LeaderLease(world.clock, world.store, TTL_S)


def test_lease_is_valid_for_its_time_from_when_it_was_asked_for(world, lease):
    asked_at = world.clock.seconds()
    assert not lease.has_valid_lease()
    world.run(lease.acquire())
    world.clock.advance(asked_at + TTL_S - 0.1 - world.clock.seconds())
    assert lease.has_valid_lease()
    world.clock.advance(0.2)
    assert not lease.has_valid_lease()


def test_renewal_extends_only_the_lease_that_is_held(world, lease):
    world.run(lease.acquire())
    old = lease.lease_id
    lease.keep_prepared(world.run(lease.grant()), world.clock.seconds())
    world.clock.advance(2.0)
    assert world.run(lease.renew(old))
    world.clock.advance(1.0)
    assert not lease.has_valid_lease()


def test_prepared_lease_is_campaigned_with_while_half_its_time_is_left(world, lease):
    lease.keep_prepared(world.run(lease.grant()), world.clock.seconds())
    prepared = lease.lease_id
    assert lease.is_prepared and world.run(lease.acquire()) == prepared
    world.clock.advance(TTL_S)
    assert not lease.is_prepared


def test_ended_lease_is_not_renewed_but_replaced(world, lease):
    first = world.run(lease.acquire())
    world.state.handle("DELETE", f"/holds/{first}", {}, b"")
    assert not world.run(lease.renew(first))
    world.clock.advance(TTL_S)
    assert not lease.has_valid_lease()
    world.run(lease.acquire())
    assert lease.has_valid_lease() and world.run(lease.renew(lease.lease_id))


@pytest.mark.parametrize("outage", [False, True])
def test_revoked_lease_is_forgotten_with_or_without_an_answer(world, lease, outage):
    world.run(lease.acquire())
    world.state.outage = outage
    world.run(lease.revoke())
    assert lease.lease_id is None
