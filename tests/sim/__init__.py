"""Tests of simulated relays: the kernel, determinism, sweeps, and the detection of seeded faults."""
