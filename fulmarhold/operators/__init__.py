"""The functions behind the operators' command line."""
