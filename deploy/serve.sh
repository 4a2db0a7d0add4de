#!/bin/sh
# Starts one real dispatcher, with flags of `serve` if any are given, in the memory that its configuration allows it. What the JVM needs beside the heap does not
# shrink with the limit, so the heap takes what is left: 64 MB covers code, classes, threads and buffers (DESIGN.md).
# All in the shell's own words: where the fleet runs, nothing may be forked on the way to the one process.
# Split at the quotes, which takes linear time: cutting a long line by patterns cost 0.16 s of a start.
memory= key=
set -f
IFS='"'
while [ -z "$memory" ] && { IFS= read -r line || [ -n "$line" ]; }; do
    for word in $line; do
        if [ "$key" = memory_mb ]; then
            word=${word#"${word%%[!: ]*}"}
            memory=${word%%[!0-9]*}
            break
        fi
        key=$word
    done
done 2>/dev/null <"${LB_CONFIG:-/dev/null}"
unset IFS
heap=$((${memory:-192} - 64))
[ "$heap" -le 88 ] || heap=88
[ "$heap" -ge 16 ] || heap=16
exec java -XX:+UseSerialGC -Xmx${heap}m -Xss512k -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=16m \
    -XX:ReservedCodeCacheSize=24m -XX:TieredStopAtLevel=1 -XX:SharedArchiveFile=target/granitefold.jsa \
    -Xlog:cds=off -Xlog:cds+dynamic=off -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
    -Djava.net.preferIPv4Stack=true -jar target/granitefold.jar serve "$@"
