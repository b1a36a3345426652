"""``python -m tests.slow_start``: plays many draws in several processes, prints one row per group size."""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

from tests.slow_start.moments import MOMENTS
from tests.slow_start.outages import (
    Result,
    Summary,
    draw_destination_outage,
    draw_hard_outage,
    simulate,
    summarize,
)

DRAWS = {"hard": draw_hard_outage, "whole": draw_destination_outage} | MOMENTS


def simulate_draw(key: tuple[str, int, int]) -> Result:
    """Simulate one draw: its kind, seed and number of relays."""
    kind, seed, relays = key
    return simulate(DRAWS[kind](seed, relays))


def format_summary(totals: Summary) -> str:
    """Format the totals of many draws as one line."""
    return (
        f"{totals.over_limit} of {totals.draws} over, worst {totals.worst_ratio:.2f}; "
        "notified by any endpoint "
        f"{totals.over_limit_any_endpoint}, worst {totals.worst_ratio_any_endpoint:.2f}; "
        f"by chance {totals.over_limit_by_chance}, served {totals.mean_served_share:.3f}"
    )


def main() -> None:
    """Simulate the draws that the arguments name and print the totals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=sorted(DRAWS), default="hard")
    parser.add_argument("--sizes", default="2,5,9,20,50,230")
    parser.add_argument("--seeds", default="0-99", help="first and last, with a hyphen")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--show", type=int, default=0, help="number of worst draws to print in full")
    args = parser.parse_args()
    first, last = map(int, args.seeds.split("-"))
    all_results = list[Result]()
    with ProcessPoolExecutor(args.jobs) as pool:
        for size in map(int, args.sizes.split(",")):
            draws = [(args.kind, seed, size) for seed in range(first, last + 1)]
            results = list(pool.map(simulate_draw, draws, chunksize=2))
            all_results += results
            print(f"relays {size}: {format_summary(summarize(results))}", flush=True)
    print(f"all: {format_summary(summarize(all_results))}")
    for result in sorted(all_results, key=lambda result: -result.worst_ratio_any_endpoint)[: args.show]:
        print(f"{result.worst_ratio:.2f} {result.worst_ratio_any_endpoint:.2f} {result.draw}")


if __name__ == "__main__":
    main()
