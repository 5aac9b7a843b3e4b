"""Measurements of the decision parts in virtual time, with small fakes."""
