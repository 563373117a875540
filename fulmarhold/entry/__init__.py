"""The entry daemon: serves callers and receives announcements of upstreams."""
