VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: install demo platform-demo test format capacity chaos soak

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python -m bench.demo

# The same on stand-ins of the users' platform.
platform-demo: install
	$(BIN)/python -m bench.platform_demo

test: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

# SEED and SECONDS choose the run; a failure prints the command that repeats it.
SEED ?= 1
SECONDS ?= 30
chaos: install
	$(BIN)/python -m bench.chaos --seed=$(SEED) --seconds=$(SECONDS)

# Lives of the budgets' state machine, seed after seed.
MINUTES ?= 10
soak: install
	$(BIN)/python -m bench.soak --seed=$(SEED) --minutes=$(MINUTES)

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

capacity: install
	$(BIN)/python -m bench.capacity
