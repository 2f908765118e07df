#!/bin/sh
# Regenerates the gRPC code from operators.proto (needs the "schema" extra).
set -eu
cd "$(dirname "$0")/.."
bin=$(pwd)/.venv/bin
out=jasminebeam/operators/generated
PATH="$bin:$PATH" "$bin/python" -m grpc_tools.protoc \
    -I jasminebeam/operators --python_out="$out" --grpclib_python_out="$out" \
    operators.proto
sed -i 's/^import operators_pb2$/from jasminebeam.operators.generated import operators_pb2/' \
    "$out/operators_grpc.py"
sha256sum jasminebeam/operators/operators.proto | cut -d' ' -f1 \
    > "$out/SCHEMA.sha256"
