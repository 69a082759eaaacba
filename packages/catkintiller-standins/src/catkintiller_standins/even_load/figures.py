"""Loads of :mod:`.simulation`, selections of an endpoint, and their figures.

Run as a program, it prints the figures of every load and selection.
"""

import argparse
import itertools
from collections.abc import Iterator

from catkintiller_relay.routing import endpoint_selection, handover

from . import simulation

LOADS = {
    "recent": simulation.Load(0.7, report_interval_s=0.01),
    "old": simulation.Load(0.7),
    "older": simulation.Load(0.7, replies_carry_load=False),
    "busy": simulation.Load(0.9),
    "lost": simulation.Load(0.6, reports_are_lost=True),
    "slow": simulation.Load(0.6, slows_down=True),
    "wave": simulation.Load(0.55, slows_down=True, waves=True),
    "crash": simulation.Load(0.5, crashes=True),
    "reject": simulation.Load(0.5, rejecting=True),
}


def select_random(
    simulated: simulation.Simulation,
    request: simulation.Request,
    now: float,
) -> tuple[int, bool]:
    """Selects any endpoint."""
    return simulated.choice_rng.choice(simulated.get_up(request)), False


def select_of_two(
    simulated: simulation.Simulation,
    request: simulation.Request,
    now: float,
) -> tuple[int, bool]:
    """Selects the less loaded one of two random endpoints."""
    up = simulated.get_up(request)
    views = simulated.views[request.node]
    sample = simulated.choice_rng.sample(up, min(2, len(up)))
    return min(sample, key=lambda i: views[i].load + views[i].sent), False


def select_as_node(
    simulated: simulation.Simulation,
    request: simulation.Request,
    now: float,
) -> tuple[int, bool]:
    """Selects as the nodes do."""
    candidates = simulated.get_candidates(request, now)
    rng = simulated.choice_rng
    return int(endpoint_selection.select_endpoint(candidates, rng).node), False


def select_and_hand_over(
    simulated: simulation.Simulation,
    request: simulation.Request,
    now: float,
) -> tuple[int, bool]:
    """Selects as the nodes do; full endpoints hand requests back."""
    candidates = simulated.get_candidates(request, now)
    rng = simulated.choice_rng
    selected = endpoint_selection.select_endpoint(candidates, rng)
    may_hand_over = endpoint_selection.has_alternative(candidates, selected)
    if len(request.sent_to) >= handover.MAX_HANDOVER_COUNT:
        may_hand_over = False
    return int(selected.node), may_hand_over


SELECTIONS = {
    "random": select_random,
    "two": select_of_two,
    "node": select_as_node,
    "handover": select_and_hand_over,
    "queue": None,
}


def iter_figures(
    loads: list[str], selections: list[str], seed: int
) -> Iterator[tuple[str, str, simulation.Figures]]:
    """Runs loads with selections."""
    for name, selection in itertools.product(loads, selections):
        play = simulation.Simulation(LOADS[name], SELECTIONS[selection], seed)
        yield name, selection, play.run()


def main() -> None:
    """Prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--loads", nargs="*", default=list(LOADS))
    parser.add_argument("--selections", nargs="*", default=list(SELECTIONS))
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("load   selection in time  p50 ms  p99 ms  uneven crossing messages rejected")
    for name, selection, each in iter_figures(
        arguments.loads, arguments.selections, arguments.seed
    ):
        print(
            f"{name:6} {selection:9} {each.in_time:7.4f} {1e3 * each.p50_s:7.0f} "
            f"{1e3 * each.p99_s:7.0f} {each.uneven:7.3f} {each.crossing:8.3f} "
            f"{each.messages:8.2f} {each.rejected:8.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
