"""The world that a relay's tests run in, torn down whatever happens."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import pytest
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


@pytest.fixture
def in_memory() -> Iterator[Path]:
    """A folder that no disk makes slow, where the machine has such a place: for thousands of compactions."""
    place = Path("/dev/shm")
    folder = Path(tempfile.mkdtemp(dir=place if place.is_dir() else None))
    yield folder
    shutil.rmtree(folder)
