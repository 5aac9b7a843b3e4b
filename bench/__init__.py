"""Benchmarks of the decision parts, in virtual time and on real sockets."""
