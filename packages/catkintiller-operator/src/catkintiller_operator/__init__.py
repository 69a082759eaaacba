"""The command line of catkintiller for operators."""
