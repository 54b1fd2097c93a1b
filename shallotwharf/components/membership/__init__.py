"""Members of a data centre and the upstreams they serve."""
