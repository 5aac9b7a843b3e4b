"""Carries out the platform calls of decision parts."""

from sequoiahook.daemons.platform_client import ObjectVersion, PlatformClient
from sequoiahook.decisions.platform_calls import (
    CallAnswer,
    CallAnswerLost,
    CallMalformed,
    CallUnavailable,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    PlatformCall,
    ReadObject,
    Watch,
    WriteConflict,
)
from sequoiahook.errors import (
    CheckError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)

__all__ = ["carry_out"]


async def carry_out(client: PlatformClient, call: PlatformCall) -> CallAnswer:
    """Carry out one call; every failure becomes an answer."""
    try:
        return await _call(client, call)
    except VersionConflictError as error:
        return WriteConflict(call.call_id, error.current)
    except PlatformUnavailableError:
        return CallUnavailable(call.call_id)
    except PlatformOutcomeUnknownError:
        return CallAnswerLost(call.call_id)
    except CheckError as error:
        return CallMalformed(call.call_id, error.findings)


async def _call(client: PlatformClient, call: PlatformCall) -> CallAnswer:
    if isinstance(call, ReadObject):
        found = await client.get(call.name) or ObjectVersion(0, None)
        return ObjectRead(call.call_id, found.version, found.value)
    if isinstance(call, Watch):
        found = await client.watch(call.name, call.after, call.wait_ms)
        if found is None:
            return ObjectUnchanged(call.call_id)
        return ObjectRead(call.call_id, found.version, found.value)
    version = await client.put(call.name, call.value, call.if_version)
    return ObjectWritten(call.call_id, version)
