#!/usr/bin/env bash
# A legacy export's run: claims records, enters each into the books once, and says so. Begin it again after any end.
#   examples/records/export.sh RUN IDS.txt BOOKS.txt [ATTEMPT]
set -euo pipefail
run=$1 ids=$2 books=$3 attempt=${4:-0}
records="$(dirname "$0")/../../bin/indigoreach records"
fences=$(mktemp)
trap 'rm -f "$fences"' EXIT
touch "$books"
$records claim --run "$run" --file "$ids"
$records billing --run "$run" --attempt "$attempt" --file "$ids" >"$fences"
while read -r id fence; do
  # The effect, once under the run's name.
  [ "$fence" = billed ] || grep -q "^$id $run " "$books" || echo "$id $run $fence" >>"$books"
done <"$fences"
$records billed --run "$run" --attempt "$attempt" --file "$fences"
