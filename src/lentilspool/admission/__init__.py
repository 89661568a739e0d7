"""At-most-once admission: tokens, ledger and quarantine."""
