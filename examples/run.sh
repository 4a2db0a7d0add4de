#!/bin/sh
# A whole toy fleet on loopback: three stand-in cocineros, discovery, two real dispatchers, a balancer that asks their
# agents, load, a drain and the way back. Prints what happened; status 0 if no request was lost. About 15 s.
cd "$(dirname "$0")/.." || exit 1
[ -f target/granitefold-standin.jar ] || mvn -B -ntp -q -DskipTests package || exit 1
exec java -jar target/granitefold-standin.jar experiment "${@:-demo}"
