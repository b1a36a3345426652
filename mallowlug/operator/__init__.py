"""The operator file: options of an installation beyond the platform's configuration."""
