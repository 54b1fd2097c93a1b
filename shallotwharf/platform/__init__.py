"""Adapter between the users' platform and the product.

Converts messages and settings; the product's rules are in the components.
"""
