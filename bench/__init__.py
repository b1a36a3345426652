"""Benchmarks of the real relay on loopback: what a message costs, beside a bare hop in the same run."""
