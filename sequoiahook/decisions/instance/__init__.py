"""All decisions of one instance, composed of the parts, still without I/O."""

from sequoiahook.decisions.instance.core import InstanceCore
from sequoiahook.decisions.instance.settings import CoreSettings

__all__ = ["CoreSettings", "InstanceCore"]
