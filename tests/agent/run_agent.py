"""Entry point of the agent process that the harness starts."""

import sys

from greengagepath.daemon.agent import run_agent
from greengagepath.foundation.settings import load_settings


def main():
    raise SystemExit(run_agent(load_settings(sys.argv[1]).unwrap()))


if __name__ == '__main__':
    main()
