"""Once-only calls: each key runs at most once in all data centres."""
