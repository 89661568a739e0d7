"""Programs: thin command lines."""
