"""The decision logic of one instance, composed of its components, without I/O."""

from sequoiahook.decisions.instance.core import InstanceCore
from sequoiahook.decisions.instance.settings import CoreSettings

__all__ = ["CoreSettings", "InstanceCore"]
