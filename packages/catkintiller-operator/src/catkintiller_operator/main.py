"""The ``catkintiller`` command of operators.

Thin functions for the command line; the work is in the modules that they name.
Each exits with a status of :mod:`exit_codes`.
"""

import getpass
import os
import sys

import defopt

from . import (
    config_queries,
    exit_codes,
    metrics,
    node_commands,
    request_trace,
    settings_commands,
    settings_queries,
)

LOG = os.environ.get("CATKINTILLER_LOG", "http://127.0.0.1:7070")
NODE = os.environ.get("CATKINTILLER_NODE", "127.0.0.1:7000")
STORE = os.environ.get("CATKINTILLER_STORE", "127.0.0.1:8309")


def check(file: str) -> None:
    """Check a settings file; tells every problem with file, section and line.

    :param file: settings file in INI form.
    """
    exit_codes.run_and_exit(lambda: settings_queries.check_settings(file))


def show(path: str = "root", *, log: str = LOG, json: bool = False) -> None:
    """Show the committed settings at and below a path.

    :param path: path of the tree.
    :param log: URL of the log service.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: settings_queries.show_settings(log, path, json))


def explain(path: str, *, log: str = LOG, json: bool = False) -> None:
    """Explain each effective value at a path: where it comes from, what it shadows.

    :param path: path of the tree.
    :param log: URL of the log service.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: settings_queries.explain_settings(log, path, json))


def diff(file: str, *, log: str = LOG, json: bool = False) -> None:
    """Show what committing a file would change.

    :param file: settings file in INI form.
    :param log: URL of the log service.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: settings_queries.diff_settings(log, file, json))


def log(*, log: str = LOG, json: bool = False) -> None:
    """List the newest commits and what became of them.

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
    log: str = LOG,
    node: str = NODE,
) -> None:
    """Commit the lines of a file that differ from the settings in force.

    :param file: settings file in INI form.
    :param message: why the change is made.
    :param author: who makes it; the login name if not given.
    :param dry_run: only show what would change.
    :param rebase: commit again after a conflict in other settings.
    :param wait: wait until every node runs the change.
    :param log: URL of the log service.
    :param node: HTTP address of any node, for --wait.
    """

    def run() -> int:
        if dry_run:
            return settings_queries.diff_settings(log, file, False)
        submitted = settings_commands.commit_settings(
            log, file, author or getpass.getuser(), message, rebase
        )
        if submitted is None:
            print("nothing to change")
            return exit_codes.OK
        status = settings_commands.print_commit_result(submitted)
        if wait and status == exit_codes.OK:
            offset = submitted.outcome.offset
            return settings_commands.wait_until_in_force(node, offset)
        return status

    exit_codes.run_and_exit(run)


def revert(commit_id: str, *, author: str = "", log: str = LOG) -> None:
    """Commit the values from before another commit.

    :param commit_id: the commit to take back.
    :param author: who does it; the login name if not given.
    :param log: URL of the log service.
    """

    def run() -> int:
        submitted, why_not = settings_commands.revert_commit(
            log, commit_id, author or getpass.getuser()
        )
        if submitted is None:
            print(f"{commit_id}: {why_not}", file=sys.stderr)
            return exit_codes.INVALID_INPUT
        return settings_commands.print_commit_result(submitted)

    exit_codes.run_and_exit(run)


def status(*, node: str = NODE, json: bool = False) -> None:
    """Show every member that a node knows.

    :param node: HTTP address of any node.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: node_commands.show_status(node, json))


def watch(*, node: str = NODE, interval: float = 2.0, count: int = 1800) -> None:
    """Show the status again and again.

    :param node: HTTP address of any node.
    :param interval: seconds between two tables.
    :param count: how many tables.
    """
    exit_codes.run_and_exit(lambda: node_commands.watch_status(node, interval, count))


def drain(node: str, *, wait: bool = False) -> None:
    """End new work at the endpoint beside a node; running requests go on.

    :param node: HTTP address of the node.
    :param wait: wait until nothing is in flight there.
    """
    exit_codes.run_and_exit(lambda: node_commands.drain_node(node, wait))


def doctor(*, log: str = LOG, node: str = NODE) -> None:
    """Look for faults that an operator should act on.

    :param log: URL of the log service.
    :param node: HTTP address of any node.
    """
    exit_codes.run_and_exit(lambda: node_commands.run_doctor(log, node))


def trace(identity: str, *files: str, json: bool = False) -> None:
    """Follow one request through the logs of several processes, and say its cause.

    :param identity: identity of the request, as on its log lines.
    :param files: logs of the processes.
    :param json: print JSON; the cause goes to standard error.
    """
    exit_codes.run_and_exit(
        lambda: request_trace.trace_request(identity, list(files), json)
    )


def config_show(*, store: str = STORE, json: bool = False) -> None:
    """Show every route of the config that the platform's store holds.

    :param store: address of the store.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: config_queries.show_config(store, json))


def config_explain(
    host: str, path: str, *, store: str = STORE, json: bool = False
) -> None:
    """Explain which route a request takes, and which routes that one shadows.

    :param host: host of the request.
    :param path: path of the request, without its query.
    :param store: address of the store.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(
        lambda: config_queries.explain_route(store, host, path, json)
    )


def config_diff(file: str, *, store: str = STORE, json: bool = False) -> None:
    """Show the routes that a config in a file would change.

    :param file: config in the form in which the store holds it.
    :param store: address of the store.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: config_queries.diff_config(store, file, json))


def node_figures(address: str, word: str = "", *, json: bool = False) -> None:
    """Show the figures of a node: versions, peers, queue, budgets, outcomes.

    :param address: address and path of the node's metrics.
    :param word: show only figures whose name or labels hold it.
    :param json: print JSON.
    """
    exit_codes.run_and_exit(lambda: metrics.show_metrics(address, word, json))


def main() -> None:
    """Entry point of ``catkintiller``."""
    settings = {
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
            "settings": settings,
            "config": {
                "show": config_show,
                "explain": config_explain,
                "diff": config_diff,
            },
            "figures": node_figures,
            "status": status,
            "watch": watch,
            "drain": drain,
            "doctor": doctor,
            "trace": trace,
        }
    )


if __name__ == "__main__":
    main()
