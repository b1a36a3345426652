"""mallowlug: a message relay on sockets, with the decision engine of ``mossfront``."""
