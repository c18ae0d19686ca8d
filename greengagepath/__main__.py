"""Entry point of the command-line tool `greengagepath`."""

from .cli.tool import run_tool


def main() -> None:
    """Run the command line and exit with its exit code."""
    raise SystemExit(int(run_tool()))


if __name__ == '__main__':
    main()
