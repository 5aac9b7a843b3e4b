"""Text exposition of an instance's counters and latency percentiles."""

from sequoiahook.daemons.caller_http import CallerAnswer
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.home_share import PERMILLE
from sequoiahook.metrics import Metrics

__all__ = ["metrics_answer"]


def metrics_answer(metrics: Metrics, core: DirectCore, now: int) -> CallerAnswer:
    """Return all metrics, one per line.

    Args:
        metrics: Counters and latencies.
        core: The decisions.
        now: The time in milliseconds.
    """
    lines = [
        f'sequoiahook_count{{name="{name}"}} {count}'
        for name, count in metrics.counts_by_name.items()
    ]
    for name, summary in metrics.latencies_by_name.items():
        lines += [
            f'sequoiahook_latency{{name="{name}",figure="{figure}"}} {value}'
            for figure, value in summary._asdict().items()
        ]
    age_ms = core.freshness.age_ms(now)
    lines += [
        f"sequoiahook_configuration_number {core.configuration_number}",
        f"sequoiahook_configuration_age_ms {-1 if age_ms is None else age_ms}",
        f"sequoiahook_configuration_findings {_finding_count(core)}",
        f"sequoiahook_targets {len(core.targets.states_by_id)}",
        f"sequoiahook_instances {len(core.peers.instances_by_name) + 1}",
    ]
    lines += [
        f'sequoiahook_region_share{{service="{service}"}} {share / PERMILLE:.3f}'
        for service, share in core.selector.home_shares.permille_by_service.items()
    ]
    lines += [
        f'sequoiahook_waiting{{service="{service}"}} {count}'
        for service, count in core.capacity.waiting.counts_by_service.items()
    ]
    moved_ratio = core.selector.shift_limit.moved_ratio(now)
    lines.append(f"sequoiahook_moved_ratio {moved_ratio:.3f}")
    for state in core.targets.states_by_id.values():
        label = f'target="{state.record.id}"'
        lines.append(f"sequoiahook_target_busy{{{label}}} {state.in_flight(now)}")
        lines.append(
            f"sequoiahook_target_slowness{{{label}}} {state.slowness(now):.2f}"
        )
    headers = ((b"content-type", b"text/plain; charset=utf-8"),)
    return CallerAnswer(200, headers, ("\n".join(lines) + "\n").encode())


def _finding_count(core: DirectCore) -> int:
    configuration = core.admission.configuration
    return 0 if configuration is None else len(configuration.findings)
