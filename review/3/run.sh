#!/usr/bin/env bash
# A request crashes each runner after its first event, at runners that take no more connections. TROUBLE=0: they take
# connections.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins/lib.sh"
start_store
start_entry n1 z1
start_entry n2 z1
run_case "$HOST_n1:$P_FRONT" "$HOST_n1:$P_READY" "$HOST_n2:$P_FRONT" "$HOST_n2:$P_READY"
