"""How nodes find each other and talk to each other."""
