"""Executes the platform calls that the decision parts request."""

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

__all__ = ["execute"]


async def execute(client: PlatformClient, call: PlatformCall) -> CallAnswer:
    """Execute one call and return its answer; errors are returned as answers too."""
    try:
        return await _execute(client, call)
    except VersionConflictError as error:
        return WriteConflict(call.call_id, error.current)
    except PlatformUnavailableError:
        return CallUnavailable(call.call_id)
    except PlatformOutcomeUnknownError:
        return CallAnswerLost(call.call_id)
    except CheckError as error:
        return CallMalformed(call.call_id, error.findings)


async def _execute(client: PlatformClient, call: PlatformCall) -> CallAnswer:
    if isinstance(call, ReadObject):
        object_version = await client.get(call.name) or ObjectVersion(0, None)
        return ObjectRead(call.call_id, object_version.version, object_version.value)
    if isinstance(call, Watch):
        object_version = await client.watch(call.name, call.after, call.wait_ms)
        if object_version is None:
            return ObjectUnchanged(call.call_id)
        return ObjectRead(call.call_id, object_version.version, object_version.value)
    version = await client.put(call.name, call.value, call.if_version)
    return ObjectWritten(call.call_id, version)
