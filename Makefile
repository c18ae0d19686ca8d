# `make demo`, `make test`, `make bench` and `make capacity` work from a
# fresh clone: each builds .venv from the pinned lock files first.
SHELL := /bin/bash
PYTHON ?= python3
BIN := .venv/bin
PIP_INSTALL := $(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps
DEMO_ARGS ?=
TEST_ARGS ?=

.PHONY: demo test bench capacity format lint generate check-generated unit clean

.venv/run.stamp: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(PIP_INSTALL) --no-compile -r requirements.lock 2> >(grep -v ^WARNING >&2)
	$(PIP_INSTALL) --no-build-isolation -e .
	touch $@

.venv/dev.stamp: .venv/run.stamp requirements-dev.lock
	$(PIP_INSTALL) -r requirements-dev.lock 2> >(grep -v ^WARNING >&2)
	touch $@

demo: .venv/run.stamp
	$(BIN)/greengagepath demo $(DEMO_ARGS)

test: .venv/dev.stamp lint check-generated unit

lint: .venv/dev.stamp
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 greengagepath tests tools

unit: .venv/dev.stamp
	$(BIN)/python -m pytest $(TEST_ARGS)

format: .venv/dev.stamp
	$(BIN)/ruff check --fix --quiet . || true
	$(BIN)/ruff format .

generate: .venv/dev.stamp
	$(BIN)/python tools/generate.py

check-generated: .venv/dev.stamp
	$(BIN)/python tools/generate.py --check

bench: .venv/run.stamp
	$(BIN)/greengagepath bench

capacity: .venv/run.stamp
	$(BIN)/python -m greengagepath.bench.capacity

clean:
	rm -rf build .pytest_cache .ruff_cache
