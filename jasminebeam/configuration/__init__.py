"""Services and routes: validation, revisions and distribution."""
