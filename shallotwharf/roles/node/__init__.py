"""The node role: serves calls by the version that control accepted."""
