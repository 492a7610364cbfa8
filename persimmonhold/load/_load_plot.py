"""Plots the requests that were due, and those that met their bounds."""

from pathlib import Path

from persimmonhold.load._run_report import RunReport


def draw_plot(report: RunReport, path: Path) -> None:
    """Plot, for each second of a run, the requests due and those in bounds.

    Writes the image file `path`. A request is offered when it is due, and
    attained if its response met all its bounds.

    Needs matplotlib, which is a development dependency only.
    """
    from matplotlib import pyplot

    seconds = [row[0] for row in report.attainment_by_second]
    offered = [row[1] for row in report.attainment_by_second]
    attained = [row[2] for row in report.attainment_by_second]
    figure, axes = pyplot.subplots(figsize=(8, 3))
    axes.step(seconds, offered, label='offered', where='post')
    axes.step(seconds, attained, label='attained', where='post')
    axes.set_xlabel('second of the run')
    axes.set_ylabel('requests')
    axes.set_title(f'{report.deployment}, seed {report.seed}')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
