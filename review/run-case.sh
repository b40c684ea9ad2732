#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$1
class=$2
cd "$(dirname "$0")/.."
if [ ! -f target/indigoreach.jar ] || [ ! -f "target/review/standin/$class.class" ]; then
  echo "not built: run the build of deploy/service.toml and review/build.sh" >&2
  exit 2
fi
timeout -k 2 117 java -Xmx512m -cp target/review "standin.$class" "$folder/record.txt"
code=$?
grep ' verdict ' "$folder/record.txt" || true
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
