"""State machine over the committed entries of the replicated log."""
