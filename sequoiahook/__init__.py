"""Global traffic steering: coordination parts for embedding, and thin daemons."""

from sequoiahook.clock import Clock, ManualClock, MonotonicClock
from sequoiahook.errors import SequoiahookError

__all__ = ["Clock", "ManualClock", "MonotonicClock", "SequoiahookError", "__version__"]

__version__ = "0.1.0"
