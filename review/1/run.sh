#!/usr/bin/env bash
# Three of a hundred answers of a runner come twice, at an instance that reaches it through another one only. TROUBLE=0:
# each answer comes once.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins/lib.sh"
start_store
start_entry n1 z1
start_entry n2 z1
run_case "$HOST_n1:$P_FRONT" "$HOST_n1:$P_READY" "$HOST_n2:$P_FRONT" "$HOST_n2:$P_READY"
