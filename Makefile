PYTHON ?= .venv/bin/python
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0

.PHONY: venv lint format test demo bench binary soak

# The stamp makes the environment again whenever the pinned requirements change.
venv: .venv/.requirements
.venv/.requirements: requirements.txt requirements-dev.txt
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/python -m pip install --quiet -r requirements-dev.txt
	touch $@

lint: venv
	$(PYTHON) -m black --quiet --check src emulator tests bench tools soak
	$(PYTHON) -m ruff check --quiet src emulator tests bench tools soak

format: venv
	$(PYTHON) -m ruff check --quiet --fix src emulator tests bench tools soak
	$(PYTHON) -m black --quiet src emulator tests bench tools soak

test: venv
	$(PYTHON) -m tools.run_tests

demo: venv
	$(PYTHON) -m emulator.demo

bench: venv
	$(PYTHON) -m bench

soak: venv
	$(PYTHON) -m soak --seeds 50

binary: dist/cottonlink
dist/cottonlink: .venv/.requirements $(shell find src -name '*.py') pyproject.toml
	mkdir -p dist
	.venv/bin/shiv --quiet --compressed --reproducible -c cottonlink -o $@ -r requirements.txt .
