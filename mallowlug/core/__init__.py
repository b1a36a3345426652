"""The relay's core: the step loop, which message owes which end, the journal, and the ports."""
