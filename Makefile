# Commands for a new machine; each installs what it needs.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: run test demo bench lint format protocol

$(VENV)/installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[standins,test,bench]'
	touch $(VENV)/installed

run: $(VENV)/installed
	$(BIN)/python -m balsamhinge.embedded

test: lint
	$(BIN)/python -m tests

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 balsamhinge bench tests
	$(BIN)/lint-imports

format: $(VENV)/installed
	$(BIN)/ruff format .

demo: $(VENV)/installed
	$(BIN)/python -m bench.demo

bench: $(VENV)/installed
	$(BIN)/python -m bench

protocol: $(VENV)/installed
	$(BIN)/pip install --quiet --editable '.[development]'
	cd balsamhinge/peers && ../../$(BIN)/python -m grpc_tools.protoc -I. \
	  --python_out=generated --grpc_python_out=generated peers.proto
	sed -i 's/^import peers_pb2 as/from balsamhinge.peers.generated import peers_pb2 as/' \
	  balsamhinge/peers/generated/peers_pb2_grpc.py
