"""Finds the route of a request and the service it goes to."""

from .. import data


class WeightedSplitter:
    """Spreads the requests of one route over its destinations by weight.

    Each pick goes to the destination that is furthest behind its share, so that
    shares hold within a few requests (smooth weighted round robin).
    """

    def __init__(self, destinations: tuple[data.Destination, ...]) -> None:
        self._parts = [part for part in destinations if part.weight > 0]
        self._total = sum(part.weight for part in self._parts)
        self._credit = [0.0] * len(self._parts)

    def pick(self) -> str:
        """Picks the service of the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        credit = self._credit
        for index, part in enumerate(self._parts):
            credit[index] += part.weight
        best = max(range(len(credit)), key=credit.__getitem__)
        credit[best] -= self._total
        return self._parts[best].service


class RouteTable:
    """The routes of one config, ready for look-ups.

    :param config: the config in force.
    """

    def __init__(self, config: data.Config) -> None:
        self._hosts: dict[str, dict[str, data.Route]] = {}
        self._splitters: dict[tuple[str, str], WeightedSplitter] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
            self._splitters[route.host, route.prefix] = WeightedSplitter(
                route.destinations
            )

    def find(self, host: str, path: str) -> data.Route | None:
        """Finds the route with the longest prefix that begins the path.

        :param path: without a query.
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def pick_service(self, route: data.Route) -> str:
        """Picks the service that the next request of a route goes to."""
        return self._splitters[route.host, route.prefix].pick()
