"""Partner transports: each module carries calls over one protocol and proves the outcome of each."""
