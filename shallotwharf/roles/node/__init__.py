"""The node role: routes calls by the version that control accepted."""
