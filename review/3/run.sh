#!/usr/bin/env bash
# A quarter of the runners crashes while many callers ask for the same statement. TROUBLE=0: none crashes.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins/lib.sh"
ZONES='"z1":"r","z2":"r","z3":"r","z4":"r"'
start_store
start_entry n1 z1
start_entry n2 z2
run_case "$HOST_n1:$P_FRONT" "$HOST_n1:$P_READY"
