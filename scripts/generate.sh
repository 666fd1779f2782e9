#!/usr/bin/env bash
# Generates src/protocol/generated/ from the schema. Needs protoc on PATH; the build does not run it.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --plugin=node_modules/.bin/protoc-gen-ts_proto \
  --ts_proto_out=src/protocol/generated \
  --ts_proto_opt=outputServices=grpc-js,esModuleInterop=true,env=node,forceLong=number,useJsTypeOverride=true,useOptionals=messages,outputJsonMethods=false,unrecognizedEnum=false,importSuffix= \
  -I src/protocol src/protocol/beechlift.proto
