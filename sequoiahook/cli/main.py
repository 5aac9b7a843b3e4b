"""Entry point of the command line."""

import sys
from collections.abc import Sequence

import defopt

from sequoiahook.cli import creation, explanations, instances, patches
from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.cli.operator_client import OperatorError
from sequoiahook.cli.output import Result, findings_result, render
from sequoiahook.errors import CheckError, SequoiahookError

__all__ = ["COMMANDS", "main"]

COMMANDS = {
    "check": instances.check,
    "configuration": patches.configuration,
    "create-organisation": creation.create_organisation,
    "create-service": creation.create_service,
    "create-target": creation.create_target,
    "drain-target": creation.drain_target,
    "explain": explanations.explain,
    "grant-key": creation.grant_key,
    "measures": instances.measures,
    "patch": patches.patch,
    "patch-outcome": patches.patch_outcome,
    "plan-shift": creation.plan_shift,
    "serve": instances.serve,
    "status": patches.status,
    "stop": instances.stop,
    "withdraw-key": creation.withdraw_key,
}
JSON_FLAG = "--json"


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with its exit code.

    The flag ``--json`` is accepted at any position and selects JSON output.

    Args:
        arguments: Command-line arguments; those of the process by default.

    Raises:
        SystemExit: Always, with the exit code of the command.
    """
    all_arguments = list(sys.argv[1:] if arguments is None else arguments)
    as_json = JSON_FLAG in all_arguments
    result = _run([argument for argument in all_arguments if argument != JSON_FLAG])
    stream = sys.stdout if result.code == ExitCode.OK else sys.stderr
    if as_json:
        stream = sys.stdout
    print(render(result, as_json=as_json), file=stream)
    sys.exit(result.code)


def _run(arguments: list[str]) -> Result:
    try:
        return defopt.run(COMMANDS, argv=arguments, cli_options="has_default")
    except CheckError as error:
        return findings_result(error.findings)
    except OperatorError as error:
        return _failure(ExitCode.UNAVAILABLE, error)
    except SequoiahookError as error:
        return _failure(ExitCode.FAILED, error)


def _failure(code: ExitCode, error: Exception) -> Result:
    return Result(code, {"error": str(error)}, f"error: {error}")
