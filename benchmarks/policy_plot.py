"""Plot of service while a zone leaves and returns; needs matplotlib."""

from pathlib import Path
from typing import Any


def plot_zone(rows: list[dict[str, Any]], path: Path) -> None:
    """Write a PNG of answers, latency and work in the zone by second."""
    import matplotlib as mpl  # noqa: WPS433 an optional extra

    mpl.use('Agg')
    from matplotlib import pyplot as plt  # noqa: WPS433 an optional extra

    seconds = [row['second'] for row in rows]
    figure, (counts, latency) = plt.subplots(2, 1, sharex=True)
    for name in ('asked', 'answered', 'runs_in_zone'):
        counts.plot(seconds, [row[name] for row in rows], label=name)
    counts.legend()
    counts.set_ylabel('requests a second')
    latency.plot(seconds, [row['p99_ms'] for row in rows])
    latency.set_ylabel('p99 in ms')
    latency.set_xlabel('seconds; the zone is out from 10 to 20')
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)
    plt.close(figure)
