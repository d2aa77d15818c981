"""Bounded field types shared by the settings of simulation scenarios and load test plans."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

Seconds = Annotated[float, Meta(ge=0, le=3600)]
Span = Annotated[float, Meta(gt=0, le=3600)]
Amount = Annotated[float, Meta(gt=0, le=100_000)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=60)]
