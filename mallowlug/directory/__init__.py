"""Directories: each module follows one source of endpoint lists and reports changes to the core."""
