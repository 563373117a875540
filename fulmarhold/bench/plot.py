"""Plots the p99 latency of each scenario of the policy benchmark, by policy set."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib
from matplotlib import pyplot

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from fulmarhold.bench.policy import Row

BAR_HEIGHT = 0.38
FIGURE_INCHES = (9.0, 7.0)


def plot_rows(rows: Sequence[Row], path: Path) -> None:
    """Write a bar chart as SVG, with the same bytes for the same rows."""
    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "fulmarhold"
    deployments = sorted({row.deployment for row in rows})
    policies = list(dict.fromkeys(row.policy for row in rows))
    figure, axes = pyplot.subplots(len(deployments), 1, figsize=FIGURE_INCHES, squeeze=False)
    for axis, deployment in zip(axes[:, 0], deployments, strict=True):
        deployment_rows = [row for row in rows if row.deployment == deployment]
        scenarios = list(dict.fromkeys(row.scenario for row in deployment_rows))
        for number, policy in enumerate(policies):
            values = {row.scenario: row.p99 for row in deployment_rows if row.policy == policy}
            positions = [position + number * BAR_HEIGHT for position in range(len(scenarios))]
            axis.barh(
                positions, [values.get(name, 0) for name in scenarios], BAR_HEIGHT, label=policy
            )
        axis.set_yticks(
            [position + BAR_HEIGHT / 2 for position in range(len(scenarios))], scenarios
        )
        axis.invert_yaxis()
        axis.set_xlabel("p99 in ms")
        axis.set_title(deployment)
        axis.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})
