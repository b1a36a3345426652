"""Runs scenarios against relays, over real sockets or in the simulation."""
