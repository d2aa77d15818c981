"""Messages of the cloud's API, and the stored machine records. Names on the wire are defined only here."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field

from meadowcross.common.types import Address, MachineId, MachineKind, Seconds, WallTime


class MachineType(Struct, frozen=True):
    """A machine type that the cloud offers: resources and prices of one machine, times in seconds."""

    name: str = field(name="label")
    cpus: float
    memory_gb: float = field(name="memoryGb")
    price: float = field(name="rate")
    spot_price: float = field(name="marketPrice")
    boot_s: Seconds = field(name="readyS")
    zones: list[str] = field(name="fields")
    gpus: float = 0.0
    cache_gb: float = field(name="localGb", default=0.0)
    fetch_gb_per_s: float = field(name="fetchGbPerS", default=1.0)


class MachineTypeList(Struct):
    """The response with the machine types; stored in the same form."""

    types: list[MachineType] = field(name="builds")


class CreateMachinesRequest(Struct):
    """A request to create machines; the cloud executes each `request_id` at most once."""

    request_id: str = field(name="hire")
    type: str = field(name="build")
    zone: str = field(name="field")
    spot: bool = field(name="stubble")
    count: int = field(name="howMany")


class MachineIds(Struct):
    """The machines that were created, or that are to be deleted."""

    machines: list[MachineId] = field(name="stalls")


class ListedMachine(Struct):
    """A machine in the cloud's list; `age_s` counts from its creation to the time that the list describes."""

    id: MachineId
    type: str = field(name="build")
    zone: str = field(name="field")
    spot: bool = field(name="stubble")
    state: str = field(name="standing")
    age_s: Seconds = field(name="ageS", default=0.0)
    addr: Address | None = None

    @property
    def kind(self) -> MachineKind:
        """The kind of the machine: its type, its zone, and spot or on demand."""
        return MachineKind(self.type, self.zone, self.spot)


class MachineListPage(Struct):
    """One page of the cloud's machine list, in the order of ids."""

    machines: list[ListedMachine] = field(name="stalls")
    has_more: bool = field(name="hasNext", default=False)


class MachineRecord(Struct):
    """The stored record of a machine, from which a new leader loads it."""

    type: str = field(name="b")
    zone: str = field(name="f")
    spot: bool = field(name="s")
    created_at: WallTime = field(name="t")
    addr: Address | None = field(name="a", default=None)


MACHINE_KEY_PREFIX = "w/"
MACHINE_TYPES_KEY = "types"
MAX_MACHINES_PER_DELETION = 100
MAX_MACHINES_PER_CREATION = 50
LIST_PAGE_LIMIT = 500

encode = msgspec.json.Encoder().encode
decode_machine_types = msgspec.json.Decoder(MachineTypeList).decode
decode_machine_ids = msgspec.json.Decoder(MachineIds).decode
decode_machine_list = msgspec.json.Decoder(MachineListPage).decode
decode_machine_record = msgspec.json.Decoder(MachineRecord).decode


def machine_key(machine: MachineId) -> str:
    """Return the key of a machine's record in the store."""
    return MACHINE_KEY_PREFIX + machine
