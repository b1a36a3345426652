"""HTTP connections shared by several adapters."""
