"""Service definitions: validation, revisions and spreading."""
