"""The entry daemon: answers callers and hears upstreams."""
