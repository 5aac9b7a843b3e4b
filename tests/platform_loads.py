"""Threads that load the instances of a fleet while a test runs."""

import contextlib
import threading


@contextlib.contextmanager
def running(load_type, fleet, names):
    """Start a load for each name, and end all of them on exit."""
    done = threading.Event()
    loads = [load_type(fleet, name, done) for name in names]
    for load in loads:
        load.start()
    yield loads
    done.set()
    for load in loads:
        load.join()
