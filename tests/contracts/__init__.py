"""The ports' contracts as suites: each implementation subclasses its port's and supplies a peer."""
