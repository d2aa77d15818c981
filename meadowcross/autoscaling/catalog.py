"""Catalog of the cloud's machine types, refreshed periodically.

The types are also stored, so that a node that starts while the cloud is unreachable can still check submissions.
"""

from __future__ import annotations

from meadowcross.autoscaling.cloud import CloudClient, CloudError
from meadowcross.autoscaling.messages import MACHINE_TYPES_KEY, MachineType, MachineTypeList, decode_machine_types
from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision, Seconds
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.messages import Condition, Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("fleet")

REFRESH_INTERVAL_S: Seconds = 45.0
RETRY_INTERVAL_S: Seconds = 1.0
"""Time until the next request after an error while no types are known."""
RETRY_WITH_TYPES_INTERVAL_S: Seconds = 10.0
"""Time until the next request after an error of the cloud while types are known."""


class MachineTypeCatalog:
    """Holds the machine types that the cloud offers, and refreshes them."""

    def __init__(self, clock: Clock, cloud: CloudClient, store: StoreClient) -> None:
        self._clock = clock
        self._cloud = cloud
        self._store = store
        self._machine_types: list[MachineType] = []
        self._is_stored = False

    def machine_types(self) -> list[MachineType]:
        """Return the machine types; empty until they have been read from the cloud or the store."""
        return self._machine_types

    async def run(self) -> None:
        """Refresh the types until cancelled; errors are logged and retried."""
        while True:
            try:
                self._machine_types = (await self._cloud.fetch_machine_types()).types
                if not self._is_stored:
                    await self._save_to_store()
                await pause(self._clock, REFRESH_INTERVAL_S)
            except CloudError as error:
                log.info("reading machine types failed error=%s", error)
                if not self._machine_types:
                    await self._load_from_store()
                await pause(self._clock, RETRY_WITH_TYPES_INTERVAL_S if self._machine_types else RETRY_INTERVAL_S)
            except Exception:
                # An unexpected error must not end the loop.
                log.exception("refreshing machine types failed")
                await pause(self._clock, RETRY_INTERVAL_S)

    async def _load_from_store(self) -> None:
        try:
            item = await self._store.get(MACHINE_TYPES_KEY)
            if item is not None:
                self._machine_types = decode_machine_types(item.value).types
                self._is_stored = True
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.info("reading stored machine types failed error=%s", error)

    async def _save_to_store(self) -> None:
        try:
            is_absent = Condition(MACHINE_TYPES_KEY, Revision(0))
            put = Put(MACHINE_TYPES_KEY, encode_raw(MachineTypeList(self._machine_types)))
            await self._store.transact([is_absent], [put], RequestPriority.BACKGROUND)
            self._is_stored = True
        except ConflictError:
            self._is_stored = True
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("storing machine types failed error=%s", error)
