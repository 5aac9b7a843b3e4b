"""Adapter for the platform: decodes its settings, store objects and HTTP fields.

The platform's names do not occur outside this package.
"""
