"""The operators' HTTP console: readiness, metrics, disabling hosts. Imported only if it is configured."""
