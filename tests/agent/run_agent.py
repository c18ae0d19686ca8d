"""Runs one agent; started by test_agent_process with a settings file."""

import sys

from greengagepath.daemon.agent import run_agent
from greengagepath.foundation.settings import load_settings


def main():
    raise SystemExit(run_agent(load_settings(sys.argv[1]).unwrap()))


if __name__ == '__main__':
    main()
