"""The users' platform: its settings, store and wire formats in the product's types.

This package only translates. Its names stay inside it.
"""
