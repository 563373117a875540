"""Route configurations and route look-up."""
