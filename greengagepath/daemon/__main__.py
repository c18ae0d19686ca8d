"""Entry point of the daemon `greengagepathd`."""

from gevent import monkey

# The links use blocking sockets and threads, which have to yield to the
# event loop. This comes before all other imports, since modules imported
# earlier would keep the unpatched functions.
monkey.patch_all()

from .command import run_daemon  # noqa: E402


def main() -> None:
    """Run the daemon and end with its exit code."""
    raise SystemExit(int(run_daemon()))


if __name__ == '__main__':
    main()
