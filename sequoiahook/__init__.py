"""Global traffic steering: an embeddable coordination library and its daemons."""

from sequoiahook.clock import Clock, ManualClock, MonotonicClock
from sequoiahook.errors import SequoiahookError

__all__ = ["Clock", "ManualClock", "MonotonicClock", "SequoiahookError", "__version__"]

__version__ = "0.1.0"
