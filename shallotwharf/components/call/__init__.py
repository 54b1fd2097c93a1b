"""One request from caller to answer."""
