#!/bin/sh
# Builds the stand-ins of the cases, with the JDK alone. The dispatcher is built by the build command of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -d target src/review/*.java
