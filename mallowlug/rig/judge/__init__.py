"""The record of a run and its evaluation: the six rules and the service measures."""
