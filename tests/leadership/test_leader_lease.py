"""Local validity of the leader lease, which never exceeds its validity at the store."""

from __future__ import annotations

import pytest

from meadowcross.leadership.leader_lease import LeaderLease

TTL_S = 3.0


@pytest.fixture
def lease(world):
    return LeaderLease(world.clock, world.store, TTL_S)


def test_lease_is_valid_for_its_ttl_from_the_request(world, lease):
    requested_at = world.clock.seconds()
    assert not lease.has_valid_lease()
    world.run(lease.acquire())
    world.clock.advance(requested_at + TTL_S - 0.1 - world.clock.seconds())
    assert lease.has_valid_lease()
    world.clock.advance(0.2)
    assert not lease.has_valid_lease()


def test_renewal_of_a_replaced_lease_does_not_extend_validity(world, lease):
    world.run(lease.acquire())
    replaced_lease_id = lease.lease_id
    lease.keep_prepared(world.run(lease.grant()), world.clock.seconds())
    world.clock.advance(2.0)
    assert world.run(lease.renew(replaced_lease_id))
    world.clock.advance(1.0)
    assert not lease.has_valid_lease()


def test_prepared_lease_is_used_while_half_its_time_is_left(world, lease):
    lease.keep_prepared(world.run(lease.grant()), world.clock.seconds())
    prepared_lease_id = lease.lease_id
    assert lease.is_prepared and world.run(lease.acquire()) == prepared_lease_id
    world.clock.advance(TTL_S)
    assert not lease.is_prepared


def test_ended_lease_is_replaced_instead_of_renewed(world, lease):
    first_lease_id = world.run(lease.acquire())
    world.state.handle("DELETE", f"/holds/{first_lease_id}", {}, b"")
    assert not world.run(lease.renew(first_lease_id))
    world.clock.advance(TTL_S)
    assert not lease.has_valid_lease()
    world.run(lease.acquire())
    assert lease.has_valid_lease() and world.run(lease.renew(lease.lease_id))


@pytest.mark.parametrize("outage", [False, True])
def test_revoked_lease_is_forgotten_even_without_a_response(world, lease, outage):
    world.run(lease.acquire())
    world.state.outage = outage
    world.run(lease.revoke())
    assert lease.lease_id is None
