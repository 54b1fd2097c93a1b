"""Who the control processes are, for all that depend on them."""
