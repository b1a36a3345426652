"""Where messages come in: each module serves one protocol and hands messages to the core."""
