"""The operator file: what an installation switches on beside the platform's relay."""
