"""What the command line does, as plain functions."""
