#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file: small programs of this folder that need nothing but the JDK.
cd "$(dirname "$0")/.." || exit 2
[ -f target/granitefold.jar ] || { echo "build the project first: mvn -q -DskipTests package" >&2; exit 2; }
mkdir -p target/review-2 && exec javac -nowarn -d target/review-2 review/src-2/*.java
