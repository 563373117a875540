"""HTTP servers for callers and operators, and a JSON client."""
