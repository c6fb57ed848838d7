# Callers that read their answers slowly while their instance stops. Guards against an instance that ends, or closes a
# connection, before the bytes of a complete answer are written.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1 ',{"name":"long","host":"h","path_prefix":"/long/","route_kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"public":false}'
endless long app long
# read_slowly INSTANCE COUNT ARGS...: callers, each reading 320,000 bytes a second; sets CALLERS. The answers take 6.6 s.
read_slowly() {
	local instance=$1 count=$2
	shift 2
	eval "local host=\$HOST_$instance"
	start "callers_$instance" "$BUILD/tests/slow-callers" --to "$host:$P_FRONT" --path /long/ --method POST --count "$count" --rate 320000 "$@"
	CALLERS=$!
	wait_for "all answers began" eval "[ \$(grep -c 'event=answer_head ' $DIR/$instance.log) -ge $count ]"
}
stop() { # INSTANCE
	sleep 0.4
	kill -TERM "$(pid_of "$1")"
	wait "$(pid_of "$1")"
	echo "exit code $?"
}
for n in n1 n2; do entry $n; wait_for "ready" ready $n; done
echo "-- a stop while six answers are read"
read_slowly n1 6
stop n1
wait $CALLERS
sed '1d' "$DIR/callers_n1.log"
echo "-- a stop while a caller reads nothing: the instance ends before it is killed"
read_slowly n2 1 --pause-ms 9000
stop n2
# From SIGTERM to the last line: what a sanitizer does at the exit is not the instance's.
awk -F '[ =]' '/event=stopping/{began = $2} /event=stopped/{print ($2 - began < 8 ? "in time" : "late")}' "$DIR/n2.log"
grep -o 'event=stop_cuts_answers running=0' "$DIR/n2.log"
