"""The ``catkintiller`` command of operators.

Each function declares the arguments of one command and calls the module that implements
it. The process exits with a code of :mod:`exit_codes`.
"""

import getpass
import os
import sys

import defopt

from . import (
    config_check,
    config_queries,
    customer_queries,
    endpoint_queries,
    exit_codes,
    metrics,
    node_commands,
    request_trace,
    settings_commands,
    settings_queries,
)

DEFAULT_LOG_URL = os.environ.get("CATKINTILLER_LOG", "http://127.0.0.1:7070")
DEFAULT_NODE_ADDRESS = os.environ.get("CATKINTILLER_NODE", "127.0.0.1:7000")
DEFAULT_STORE_ADDRESS = os.environ.get("CATKINTILLER_STORE", "127.0.0.1:8309")


def check(file: str) -> None:
    """Check a settings file and print every problem with file, section and line.

    :param file: settings file in INI form.
    """
    exit_codes.run_and_exit(lambda: settings_queries.check_settings(file))


def show(path: str = "root", *, log: str = DEFAULT_LOG_URL, json: bool = False) -> None:
    """Show the committed settings at and below a path.

    :param path: path of the settings tree.
    :param log: URL of the log service.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: settings_queries.show_settings(log, path, json))


def explain(path: str, *, log: str = DEFAULT_LOG_URL, json: bool = False) -> None:
    """Explain each effective value at a path: its source and what it shadows.

    :param path: path of the settings tree.
    :param log: URL of the log service.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: settings_queries.explain_settings(log, path, json))


def diff(file: str, *, log: str = DEFAULT_LOG_URL, json: bool = False) -> None:
    """Show what committing a file would change.

    :param file: settings file in INI form.
    :param log: URL of the log service.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: settings_queries.diff_settings(log, file, json))


def log(*, log: str = DEFAULT_LOG_URL, json: bool = False) -> None:
    """List the newest commits and their outcomes.

    :param log: URL of the log service.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: settings_queries.list_commits(log, json))


def commit(
    file: str,
    *,
    message: str,
    author: str = "",
    dry_run: bool = False,
    rebase: bool = False,
    wait: bool = False,
    log: str = DEFAULT_LOG_URL,
    node: str = DEFAULT_NODE_ADDRESS,
) -> None:
    """Commit the lines of a file that differ from the settings in force.

    :param file: settings file in INI form.
    :param message: reason for the change.
    :param author: author of the commit; the login name if not given.
    :param dry_run: show what would change without committing it.
    :param rebase: commit again after a conflict if none of these settings changed.
    :param wait: wait until the change is in force at every node.
    :param log: URL of the log service.
    :param node: HTTP address of any node, for --wait.
    """

    def run() -> int:
        if dry_run:
            return settings_queries.diff_settings(log, file, False)
        result = settings_commands.commit_settings(
            log, file, author or getpass.getuser(), message, rebase
        )
        if result is None:
            print("nothing to commit: the file matches the settings in force")
            return exit_codes.OK
        exit_code = settings_commands.print_commit_result(result)
        if wait and exit_code == exit_codes.OK:
            offset = result.outcome.offset
            return settings_commands.wait_until_in_force(node, offset)
        return exit_code

    exit_codes.run_and_exit(run)


def revert(commit_id: str, *, author: str = "", log: str = DEFAULT_LOG_URL) -> None:
    """Commit the values that were in force before another commit.

    :param commit_id: the commit to revert.
    :param author: author of the commit; the login name if not given.
    :param log: URL of the log service.
    """

    def run() -> int:
        result, failure = settings_commands.revert_commit(
            log, commit_id, author or getpass.getuser()
        )
        if result is None:
            print(f"{commit_id}: {failure}", file=sys.stderr)
            return exit_codes.INVALID_INPUT
        return settings_commands.print_commit_result(result)

    exit_codes.run_and_exit(run)


def status(*, node: str = DEFAULT_NODE_ADDRESS, json: bool = False) -> None:
    """Show the status of each member in a node's membership table.

    :param node: HTTP address of any node.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: node_commands.show_status(node, json))


def watch(
    *, node: str = DEFAULT_NODE_ADDRESS, interval: float = 2.0, count: int = 1800
) -> None:
    """Show the status of each member repeatedly.

    :param node: HTTP address of any node.
    :param interval: seconds between two tables.
    :param count: number of tables.
    """
    exit_codes.run_and_exit(lambda: node_commands.watch_status(node, interval, count))


def drain(node: str, *, wait: bool = False) -> None:
    """Stop new requests to the endpoint beside a node; running requests continue.

    :param node: HTTP address of the node.
    :param wait: wait until no request is in flight there.
    """
    exit_codes.run_and_exit(lambda: node_commands.drain_node(node, wait))


def doctor(*, log: str = DEFAULT_LOG_URL, node: str = DEFAULT_NODE_ADDRESS) -> None:
    """Check the log service, nodes and services for faults.

    :param log: URL of the log service.
    :param node: HTTP address of any node.
    """
    exit_codes.run_and_exit(lambda: node_commands.run_doctor(log, node))


def trace(identity: str, *files: str, json: bool = False) -> None:
    """Show the log lines of one request and the cause of its outcome.

    :param identity: ID of the request, as in its log lines.
    :param files: log files of the processes.
    :param json: print JSON; the cause goes to standard error.
    """
    exit_codes.run_and_exit(
        lambda: request_trace.trace_request(identity, list(files), json)
    )


def config_show(*, store: str = DEFAULT_STORE_ADDRESS, json: bool = False) -> None:
    """Show every route of the config that the platform's store holds.

    :param store: address of the store.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: config_queries.show_config(store, json))


def config_explain(
    host: str, path: str, *, store: str = DEFAULT_STORE_ADDRESS, json: bool = False
) -> None:
    """Explain which route a request takes and which routes it shadows.

    :param host: host of the request.
    :param path: path of the request, without its query.
    :param store: address of the store.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(
        lambda: config_queries.explain_route(store, host, path, json)
    )


def config_diff(
    file: str, *, store: str = DEFAULT_STORE_ADDRESS, json: bool = False
) -> None:
    """Show the routes that differ between the config in the store and a file.

    :param file: config in the format of the store.
    :param store: address of the store.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: config_queries.diff_config(store, file, json))


def config_check_file(
    file: str, *, store: str = DEFAULT_STORE_ADDRESS, json: bool = False
) -> None:
    """Check a config by the rules of the nodes; compare it with the one in force.

    :param file: config in the format of the store.
    :param store: address of the store; empty to compare with nothing.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: config_check.check_config(store, file, json))


def show_node_metrics(address: str, word: str = "", *, json: bool = False) -> None:
    """Show the metrics of a node: config version, peers, queue, budgets, outcomes.

    :param address: address and path of the node's metrics, as IP:PORT/PATH.
    :param word: show only metrics whose name or labels contain this text.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: metrics.show_metrics(address, word, json))


def customers_show(
    *nodes: str,
    store: str = DEFAULT_STORE_ADDRESS,
    interval: float = 1.0,
    json: bool = False,
) -> None:
    """Show the customers in force: quotas, digests of keys, and use at some nodes.

    :param nodes: addresses of the nodes' metrics, as IP:PORT.
    :param store: address of the store.
    :param interval: seconds over which the use is measured.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(
        lambda: customer_queries.show_customers(store, list(nodes), interval, json)
    )


def customers_refused(
    *nodes: str, customer: str = "", interval: float = 1.0, json: bool = False
) -> None:
    """Show whose requests some nodes refuse, and why. Exit code 1 if any are.

    :param nodes: addresses of the nodes' metrics, as IP:PORT.
    :param customer: show this customer only.
    :param interval: seconds over which refusals are counted.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(
        lambda: customer_queries.show_refusals(list(nodes), customer, interval, json)
    )


def endpoints(*nodes: str, service: str = "", json: bool = False) -> None:
    """Show the endpoints beside some nodes side by side, the fullest first.

    :param nodes: addresses of the nodes' metrics, as IP:PORT.
    :param service: show the endpoints of this service only.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(
        lambda: endpoint_queries.show_endpoints(list(nodes), service, json)
    )


def main() -> None:
    """Runs the command that the arguments name."""
    settings_subcommands = {
        "check": check,
        "show": show,
        "explain": explain,
        "diff": diff,
        "log": log,
        "commit": commit,
        "revert": revert,
    }
    defopt.run(
        {
            "settings": settings_subcommands,
            "config": {
                "show": config_show,
                "explain": config_explain,
                "diff": config_diff,
                "check": config_check_file,
            },
            "customers": {"show": customers_show, "refused": customers_refused},
            "endpoints": endpoints,
            "figures": show_node_metrics,
            "status": status,
            "watch": watch,
            "drain": drain,
            "doctor": doctor,
            "trace": trace,
        }
    )


if __name__ == "__main__":
    main()
