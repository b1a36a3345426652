"""The command line beside the `run` line."""
