# Many callers read long answers slowly. Guards against an instance that holds what they have not read beyond its machine's
# memory, and against answers that are cut or replaced by a failure for that reason.
. tests/lib.sh
. tests/lib_users.sh
CALLERS=100
ANSWER_BYTES=2097152
# A fifth of the machine's memory, one answer, and one read for each caller.
BOUND_BYTES=$((200 * 1024 * 1024 / 5 + ANSWER_BYTES + CALLERS * 65536))
store_start
config 1 k1 ',{"name":"long","host":"h","path_prefix":"/long/","route_kind":"idempotent","timeout_ms":20000,"target_latency_ms":15000,"priority":2,"service":"app","max_attempts":2,"public":false}'
endless long app long
entry n1
wait_for "ready" ready n1
start callers "$BUILD/tests/slow-callers" --to "$HOST_n1:$P_FRONT" --path /long/ --count $CALLERS --rate 400000
highest=0
held_bytes() { curl -s "http://$HOST_n1:$P_METRICS/metrics" | awk '/^corianderwalk_(held|unwritten)_answer_bytes /{n += $2} END {print n + 0}'; }
while kill -0 "$PID_callers" 2>/dev/null; do
	held=$(held_bytes)
	[ "${held:-0}" -le $highest ] || highest=$held
	sleep 0.1
done
sed 1d "$DIR/callers.log"
echo "held at most: $([ $highest -gt 0 ] && [ $highest -le $BOUND_BYTES ] && echo "within the bound" || echo "$highest bytes")"
held_nothing() { [ "$(held_bytes)" = 0 ]; }
in_time 2000 held_nothing
