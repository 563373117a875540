"""Loading and checking of YAML files."""
