"""Cases of the independent review; not part of the tests."""
