"""How calls go out: each module carries calls over one protocol and proves what became of them."""
