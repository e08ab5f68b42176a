.POSIX:
.PHONY: demo demo-system test clean

demo: .venv/made
	.venv/bin/python -m rig.demo

demo-system: .venv/made
	.venv/bin/python -m rig.system.demo

test: .venv/made
	PATH="$$PWD/.venv/bin:$$PATH" sh tests/run.sh

.venv/made: requirements.txt requirements-system.txt requirements-dev.txt
	.venv/bin/python -c '' 2>/dev/null || python3 -m venv --clear .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

clean:
	rm -rf .venv .mypy_cache .pytest_cache .ruff_cache .hypothesis
	find . -name __pycache__ -type d -prune -exec rm -rf {} +
