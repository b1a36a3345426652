"""mossfront: the decision engine of a relay that delivers webhooks and other calls to many destinations."""

from mossfront.engine import DecisionEngine

__all__ = ["DecisionEngine"]
