#!/bin/sh
# Prints what the core decides in its seeded runs, as hashes; see BehaviourDigest, which takes the arguments.
# DIGEST_THREADS: how many runs are played at once, 3 if it is not set.
set -e
cd "$(dirname "$0")/../.."
mvn -B -ntp -q test-compile
if [ ! target/test.classpath -nt pom.xml ]; then
    mvn -B -ntp -q dependency:build-classpath -Dmdep.outputFile=target/test.classpath -Dmdep.includeScope=test
fi
# The thread that starts the runs plays some of them as well.
exec java "-Djava.util.concurrent.ForkJoinPool.common.parallelism=$((${DIGEST_THREADS:-3} - 1))" \
    -cp "target/classes:target/test-classes:$(cat target/test.classpath)" io.indigoreach.core.BehaviourDigest "$@"
