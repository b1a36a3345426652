"""Front ends: each module serves one client protocol and submits messages to the core."""
