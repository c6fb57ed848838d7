#!/usr/bin/env bash
# Callers pause their reading for 4 s while their instance is stopped as planned. TROUBLE=0: they read at once.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins/lib.sh"
start_store
start_entry n1 z1
start_entry n2 z1
run_case "$HOST_n1:$P_FRONT" "$HOST_n1:$P_READY" "$PID_n1"
