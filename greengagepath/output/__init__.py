"""Output of the command-line tool: tables, JSON, plots and HTML."""
