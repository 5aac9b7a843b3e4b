"""Look-ups: the instances that callers may use, chosen by client address."""

from sequoiahook.decisions.lookup.lookup import Lookup, LookupAnswer
from sequoiahook.decisions.lookup.settings import LookupSettings
from sequoiahook.decisions.lookup.table import BlockTable, parse_address

__all__ = ["BlockTable", "Lookup", "LookupAnswer", "LookupSettings", "parse_address"]
