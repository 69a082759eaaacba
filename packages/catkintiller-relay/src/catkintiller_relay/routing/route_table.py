"""Finds the route of a request and the service that it is sent to."""

from .. import data


class WeightedSplitter:
    """Distributes the requests of one route over its destinations by weight.

    Uses smooth weighted round robin: each request goes to the destination that is
    furthest behind its share, so that the shares hold within a few requests.
    """

    def __init__(self, destinations: tuple[data.Destination, ...]) -> None:
        self._destinations = [
            destination for destination in destinations if destination.weight > 0
        ]
        self._total_weight = sum(
            destination.weight for destination in self._destinations
        )
        self._current_weights = [0.0] * len(self._destinations)

    def pick(self) -> str:
        """Returns the service of the next request."""
        if len(self._destinations) == 1:
            return self._destinations[0].service
        current_weights = self._current_weights
        for index, destination in enumerate(self._destinations):
            current_weights[index] += destination.weight
        best = max(range(len(current_weights)), key=current_weights.__getitem__)
        current_weights[best] -= self._total_weight
        return self._destinations[best].service


class RouteTable:
    """Routes of one config, indexed by host and path prefix.

    :param config: the config in force.
    """

    def __init__(self, config: data.Config) -> None:
        self._routes_by_host: dict[str, dict[str, data.Route]] = {}
        self._splitters: dict[tuple[str, str], WeightedSplitter] = {}
        for route in config.routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route
            self._splitters[route.host, route.prefix] = WeightedSplitter(
                route.destinations
            )

    def find(self, host: str, path: str) -> data.Route | None:
        """Finds the route with the longest prefix that matches the path.

        :param path: path without a query.
        """
        routes_by_prefix = self._routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def pick_service(self, route: data.Route) -> str:
        """Returns the service that the next request of a route is sent to."""
        return self._splitters[route.host, route.prefix].pick()
