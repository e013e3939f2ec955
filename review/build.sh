#!/bin/sh
# Builds the stand-ins that the scripts start, into review/target/.
set -eu
cd "$(dirname "$0")"
mkdir -p target
javac --release 17 -d target lib/*.java [1-5]/*.java
