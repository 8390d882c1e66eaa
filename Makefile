# Both targets make their own virtual environment, .ci-venv, from pyproject.toml; nothing else is needed.
VENV := .ci-venv
PY := $(VENV)/bin/python

.PHONY: demo test setup lint

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	touch $@

# A scripted bad day on loopback, with every stand-in, judged from the traffic alone.
demo: setup
	$(PY) -m martenstep day run days/first.txtpb --out out/first

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

test: lint
	$(PY) -m pytest -q -n auto --dist worksteal
