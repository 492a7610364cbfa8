# The two set-up commands are `make run` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
ENVIRONMENT := $(VENV)/.installed
BENCHES := consensus dissemination dissemination_state placement \
	placement_rounds admission routing entry entry_relay
SOURCES := $(shell find persimmonhold -name '*.py')

.PHONY: run test check check-binary format binary bench drills soak clean

run: $(ENVIRONMENT)
	$(BIN)/persimmonhold dev

test: $(ENVIRONMENT) check check-binary
	cat KNOWN-RED.txt
	$(BIN)/python -m pytest

check: $(ENVIRONMENT)
	$(BIN)/ruff format --check persimmonhold tests bench
	$(BIN)/ruff check persimmonhold tests bench
	$(BIN)/flake8 persimmonhold tests bench
	$(BIN)/mypy
	$(BIN)/lint-imports

format: $(ENVIRONMENT)
	$(BIN)/ruff format persimmonhold tests bench
	$(BIN)/ruff check --fix persimmonhold tests bench

$(ENVIRONMENT): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --no-deps --require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(ENVIRONMENT)

binary: dist/persimmonhold

dist/persimmonhold: $(ENVIRONMENT) requirements-runtime.lock $(SOURCES)
	rm -rf build/site dist/persimmonhold
	mkdir -p dist
	$(BIN)/python -m pip install --quiet --no-deps --require-hashes \
		--target build/site -r requirements-runtime.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		--target build/site .
	$(BIN)/shiv --compressed --site-packages build/site \
		--python '/usr/bin/env python3' --console-script persimmonhold \
		--output-file dist/persimmonhold

bench: $(ENVIRONMENT)
	for part in $(BENCHES); do \
		echo "== $$part"; \
		$(BIN)/python -m bench.$$part --seed 1 || exit 1; \
	done

drills: $(ENVIRONMENT)
	$(BIN)/python -m bench.drills

soak: $(ENVIRONMENT)
	$(BIN)/python -m bench.soak --seeds 1-50
	$(BIN)/python -m bench.soak --seeds 1-50 --releases

check-binary: dist/persimmonhold
	$(BIN)/python -m bench.check_binary dist/persimmonhold

clean:
	rm -rf build dist
