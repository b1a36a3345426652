"""The world that a relay's tests run in, torn down whatever happens."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio
from hypothesis import settings

from tests.world import World

settings.register_profile("same", derandomize=True, deadline=None)  # the same verdict every time
settings.load_profile("same")


@pytest_asyncio.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    """A directory, no hosts yet, and a relay that is not started."""
    world = World(tmp_path)
    await world.start()
    yield world
    await world.stop()
