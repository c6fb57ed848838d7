# Servers that are silent for longer than any gap limit and then go on, while no other server may be asked. Guards against
# answers that are cut, or replaced by a failure, only since their server is silent.
. tests/lib.sh
. tests/lib_users.sh
TARGET_GAP_MS=100
PAUSE_S=4.6
RETRY_RATIO=0
RETRY_SLACK=0
store_start
config 1 k1 ",{\"name\":\"once\",\"host\":\"h\",\"path_prefix\":\"/once/\",\"route_kind\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":1500,\"priority\":0,\"sizes\":[\"small\",\"large\"],\"service\":\"llm\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":100}"
for e in e1 e2; do runner $e llm v1 --confidence 90 --gap 20; done
for a in a1 a2; do runner $a app v1 --work-ms 900; done
start_instances n1
# begin_stream ROUTE ID: starts a stream of 40 events, and waits until it has begun; sets CALLER.
begin_stream() {
	ask n1 POST "/$1/40" "$2" -H 'Accept: text/event-stream' -H 'Model: *' -H 'Token-Count: 100,50' \
		-H 'Prefix-Hash: aa:40,bb:60' >"$DIR/$2" &
	CALLER=$!
	wait_for "$2 is answered" grep -q "event=answer_head request=$2 " "$DIR/n1.log"
	sleep 0.2
}
pause() { # COMMAND...: run once the servers are silent
	local e
	for e in e1 e2; do runner_mode $e hang; done
	"$@"
	sleep $PAUSE_S
	for e in e1 e2; do runner_mode $e ok; done
}
report() { # ID
	wait $CALLER
	echo "$1: $(head -n 1 "$DIR/$1"), $(grep -q '^id: 40$' "$DIR/$1" && echo whole || echo cut), attempts: $(grep -c "event=dispatch request=$1 " "$DIR/n1.log")"
}
echo "-- a stream that may be resumed, and no retry is granted"
begin_stream chat granted
pause true
report granted
echo "-- an answer that takes three times the objective, and no retry is granted"
ask n1 GET /read/1 plain | tr '\n' ' '
echo "attempts: $(grep -c "event=dispatch request=plain " "$DIR/n1.log")"
echo "-- a stream that may not be resumed, and its instance stops"
begin_stream once stopped
pause kill -TERM "$PID_n1"
report stopped
wait "$PID_n1"
echo "exit code $?"
