"""The machine types, kept fresh; also stored, so that a node that starts while the
cloud is in trouble can still check submissions."""

from __future__ import annotations

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Seconds
from meadowcross.fleet import messages as m
from meadowcross.fleet.cloud import Cloud, CloudTrouble
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Conflicted, Refused, StoreClient, Unavailable, Unknown
from meadowcross.store.messages import Condition, Put, raw

log = logger("fleet")

REFRESH_S: Seconds = 45.0
RETRY_S: Seconds = 1.0


class Catalog:
    def __init__(self, clock: Clock, cloud: Cloud, store: StoreClient) -> None:
        self._clock = clock
        self._cloud = cloud
        self._store = store
        self._types: list[m.MachineType] = []
        self._stored = False

    def types(self) -> list[m.MachineType]:
        return self._types

    async def run(self) -> None:
        while True:
            try:
                self._types = (await self._cloud.types()).types
                if not self._stored:
                    await self._store_once()
                await pause(self._clock, REFRESH_S)
            except CloudTrouble as error:
                log.info("machine types: %s", error)
                if not self._types:
                    await self._from_store()
                await pause(self._clock, RETRY_S if not self._types else 10 * RETRY_S)
            except Exception:
                log.exception("machine types")
                await pause(self._clock, RETRY_S)

    async def _from_store(self) -> None:
        try:
            item = await self._store.get(m.TYPES_KEY)
            if item is not None:
                self._types = m.decode_types(item.value).types
                self._stored = True
        except (Unavailable, Unknown, Refused) as error:
            log.info("stored machine types: %s", error)

    async def _store_once(self) -> None:
        try:
            value = raw(m.TypeList(self._types))
            await self._store.transact([Condition(m.TYPES_KEY, 0)], [Put(m.TYPES_KEY, value)], Urgency.LATER)  # type: ignore[arg-type]
            self._stored = True
        except Conflicted:
            self._stored = True
        except (Unavailable, Unknown, Refused) as error:
            log.debug("machine types not stored yet: %s", error)
