# The two set-up commands are `make run` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
ENVIRONMENT := $(VENV)/.installed

.PHONY: run test check format binary bench drills clean

run: $(ENVIRONMENT)
	$(BIN)/persimmonhold dev

test: $(ENVIRONMENT) check
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

clean:
	rm -rf build dist
