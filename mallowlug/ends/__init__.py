"""How messages end: each module brings ends to those who wait for them, until they are confirmed."""
