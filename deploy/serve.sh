#!/bin/sh
# Starts one real dispatcher, with flags of `serve` if any are given, in the memory that its configuration allows it. What the JVM needs beside the heap does not
# shrink with the limit, so the heap takes what is left: 64 MB covers code, classes, threads and buffers (DESIGN.md).
memory=$(sed -n 's/.*"memory_mb" *: *\([0-9][0-9]*\).*/\1/p' "${LB_CONFIG:-/dev/null}" 2>/dev/null | head -n 1)
heap=$((${memory:-192} - 64))
[ "$heap" -le 88 ] || heap=88
[ "$heap" -ge 16 ] || heap=16
exec java -XX:+UseSerialGC -Xmx${heap}m -Xss512k -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=16m \
    -XX:ReservedCodeCacheSize=24m -XX:TieredStopAtLevel=1 -XX:SharedArchiveFile=target/granitefold.jsa \
    -Xlog:cds=off -Xlog:cds+dynamic=off -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
    -jar target/granitefold.jar serve "$@"
