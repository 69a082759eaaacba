"""How requests of callers come in and how answers go back."""
