"""Checks a config before it is written: errors, dead entries, and what it changes.

The file is parsed by the same code as at the nodes, so what is an error here is ignored
there. Warnings are about configs that nodes apply although they are hardly meant so.
"""

import sys

from catkintiller_platform import adapter
from catkintiller_relay import data

from . import (
    config_comparison,
    config_queries,
    config_warnings,
    deployment_queries,
    exit_codes,
    findings,
    render,
)

COLUMNS = ["kind", "where", "what"]


def check_config(store: str, file: str, as_json: bool) -> int:
    """Prints what is wrong with a file, and how it differs from the version in force.

    :param store: ``IP:PORT`` of the store; empty to compare with nothing.
    :returns: the exit code: invalid input with errors, a fault with warnings.
    """
    with open(file, "rb") as stream:
        content = stream.read()
    try:
        config = adapter.PlatformAdapter().parse_config(content)
    except data.DecodeError as error:
        found = [findings.Finding(findings.ERROR, file, str(error))]
    else:
        found = config_warnings.find_warnings(config)
        if store:
            found += compare_with_store(store, config)
    render.print_rows(COLUMNS, [list(each) for each in found], as_json)
    kinds = {each.kind for each in found}
    if findings.ERROR in kinds:
        return exit_codes.INVALID_INPUT
    if findings.WARNING in kinds:
        print("the config is valid, but see the warnings", file=sys.stderr)
        return exit_codes.FAULT_FOUND
    return exit_codes.OK


def compare_with_store(store: str, config: data.Config) -> list[findings.Finding]:
    """Compares a config with what the store tells about the deployment.

    :param store: ``IP:PORT`` of the store.
    """
    deployment = deployment_queries.read_deployment(store)
    found = config_warnings.find_deployment_warnings(config, deployment)
    try:
        before = config_queries.read_config(store)
    except data.DecodeError as error:
        what = f"not compared: {error}"
        return [*found, findings.Finding(findings.WARNING, "store", what)]
    return found + config_comparison.compare_configs(before, config)
