"""What the tool shows: tables, JSON, plots and HTML."""
