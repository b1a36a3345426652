"""Slow start in a group of relays that share no state: a model of randomly drawn outages, and its tests."""
