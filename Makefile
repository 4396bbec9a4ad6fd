PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core border daemon operator bench
STAMP := $(VENV)/.installed

.PHONY: bench demo docs format lint slopes soak test

$(STAMP): requirements.txt $(foreach p,$(PACKAGES),packages/dotterelgate-$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach p,$(PACKAGES),-e packages/dotterelgate-$(p))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m dotterelgate_bench.demo
	$(BIN)/python platform/demo.py

test: $(STAMP)
	$(BIN)/python features/run.py

soak: $(STAMP)
	$(BIN)/python features/soak.py --failed
	$(BIN)/python features/soak.py --seeds 50 --seed $(shell date +%s)

lint: $(STAMP)
	$(BIN)/ruff format --check packages features platform
	$(BIN)/ruff check packages features platform
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format packages features platform
	$(BIN)/ruff check --fix packages features platform

bench: $(STAMP)
	$(BIN)/python -m dotterelgate_bench.policies
	$(BIN)/python -m dotterelgate_bench.processes

slopes: $(STAMP)
	$(BIN)/python -m dotterelgate_bench.slopes

docs: $(STAMP)
	$(BIN)/sphinx-build -q -W -b html docs docs/_build
