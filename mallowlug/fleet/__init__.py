"""The relays' own view of their fleet: who is there, and for how large a group each reckons."""
