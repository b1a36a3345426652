"""Simulated runs of whole relays: asyncio on a simulated kernel, clock and network, driven by one seed."""
