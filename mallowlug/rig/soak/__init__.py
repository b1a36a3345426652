"""Soak runs: seeded scenarios with faults against real relay processes, judged by all rules."""
