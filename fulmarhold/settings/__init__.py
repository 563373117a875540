"""Loading and validation of settings files."""
