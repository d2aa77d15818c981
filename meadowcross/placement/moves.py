"""DESIGN's periodic move pass, a pure function over a snapshot."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from meadowcross.common.settings import Operator
from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.placement.engine import Offer, Want, allowed, score


@dataclass(slots=True)
class Replica:
    """A running service replica, for the periodic move pass."""

    key: object
    want: Want
    """Its job; `siblings` without the replica itself."""
    machine: MachineId
    age_s: Seconds


def moves(
    offers: Iterable[Offer], replicas: Iterable[Replica], usage: dict[MachineId, float], weights: Operator
) -> list[Replica]:
    """DESIGN's periodic pass: at most one replica per service, off a machine that is used
    above the threshold, when another machine leads by enough points and the replica is old
    enough. Its own use counts as free on its own machine."""
    offered = {o.machine: o for o in offers}
    chosen: dict[JobId, Replica] = {}
    for replica in replicas:
        own = offered.get(replica.machine)
        want = replica.want
        if (
            own is None
            or want.job in chosen
            or replica.age_s <= weights.move_age_s
            or usage.get(replica.machine, 0.0) * 100 <= weights.move_usage_percent
        ):
            continue
        own.take(want.spec, -1)
        here = score(want.spec, own, want.siblings, weights)
        own.take(want.spec)
        for other in offered.values():
            if other is own or not allowed(want.spec, other.kind) or not other.fits(want.spec):
                continue
            if want.spec.one_zone and other.kind.zone != own.kind.zone:
                continue
            if score(want.spec, other, want.siblings, weights) >= here + weights.move_lead_points:
                chosen[want.job] = replica
                break
    return list(chosen.values())
