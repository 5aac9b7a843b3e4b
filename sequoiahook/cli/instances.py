"""Commands that run, stop and observe instances."""

from typing import Any

from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.cli.operator_client import (
    call_operator,
    read_document,
    read_operator_settings,
)
from sequoiahook.cli.output import Result, table
from sequoiahook.daemons.settings import read_instance_settings
from sequoiahook.decisions.configuration.merge import merge
from sequoiahook.options import Section
from sequoiahook.world.configuration import read_configuration

__all__ = ["check", "measures", "serve", "stop"]

KINDS = ("settings", "configuration", "patch")


def serve(settings: str, *, log_level: str = "INFO") -> Result:
    """Run one instance until it is stopped.

    Args:
        settings: JSON file with the settings of the instance.
        log_level: Lowest level of logged messages.
    """
    # Imported here so that other commands start faster.
    from sequoiahook.daemons.process import run_instance

    instance_settings = read_instance_settings(read_document(settings))
    run_instance(instance_settings, log_level)
    return Result(
        ExitCode.OK,
        {"stopped": instance_settings.name},
        f"{instance_settings.name} stopped",
    )


def check(file: str, *, kind: str = "settings", base: str = "") -> Result:
    """Check a file offline and show all findings with their locations.

    Exits with 4 if there are findings.

    Args:
        file: JSON file to check.
        kind: ``settings`` of an instance, a complete ``configuration``, or a ``patch``.
        base: JSON file with the configuration that a patch changes; none by default.
    """
    document = read_document(file)
    if kind == "settings":
        read_instance_settings(document)
    elif kind == "configuration":
        read_configuration(0, document)
    elif kind == "patch":
        Section(document).raise_for_findings()
        read_configuration(0, merge(read_document(base) if base else {}, document))
    else:
        text = f"kind must be one of {', '.join(KINDS)}"
        return Result(ExitCode.USAGE, {"error": text}, text)
    return Result(ExitCode.OK, {"findings": []}, f"{file}: no findings")


def stop(*, operator: str = "operator.json") -> Result:
    """Stop the first reachable instance of the operator's settings gracefully.

    Args:
        operator: JSON file with the operator's settings.
    """
    settings = read_operator_settings(operator)
    answer = call_operator(settings, "POST", "/stop", {})
    return Result(ExitCode.OK, answer.document, f"{answer.document['name']} is leaving")


def measures(*, operator: str = "operator.json") -> Result:
    """Show counters and latency percentiles of an instance.

    Args:
        operator: JSON file with the operator's settings.
    """
    settings = read_operator_settings(operator)
    document: dict[str, Any] = call_operator(settings, "GET", "/measures").document
    columns = ("count", "p50_ms", "p99_ms", "p999_ms", "max_ms")
    latencies = [
        (name, *(entry[column] for column in columns))
        for name, entry in document["latencies_by_name"].items()
    ]
    parts = [
        table(("counter", "count"), document["counts_by_name"].items()),
        table(("latency", *columns), latencies),
    ]
    return Result(ExitCode.OK, document, "\n\n".join(parts))
