"""Who may be called: each module follows one source of endpoints and tells its news."""
