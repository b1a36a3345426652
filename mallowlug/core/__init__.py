"""The relay's core: the step loop, the messages without a final result, the journal and the ports."""
