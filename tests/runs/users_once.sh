# Requests that may run once, on routes with two models. Guards against a second run of them: as the first answer has a
# low confidence, directly and through a peer, and after a failure.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_fatal.sh
. tests/lib_cut.sh
store_start
route() { # NAME KIND RESUMABLE
	echo ",{\"name\":\"$1\",\"host\":\"h\",\"path_prefix\":\"/$1/\",\"route_kind\":\"$2\",\"timeout_ms\":20000,\"target_latency_ms\":1500,\"priority\":0,\"sizes\":[\"small\",\"large\"],\"service\":\"llm\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":$3,\"target_gap_ms\":1000}"
}
config 1 k1 "$(route once streaming false)$(route form non_idempotent false)"
runner e1 llm v1 --confidence 10 --gap 5
runner e2 llm v1 --confidence 10 --gap 5
start_instances n1 n2
# send INSTANCE ROUTE ID [CURL ARGS...]: prints the status.
send() {
	local instance=$1 route=$2 id=$3
	shift 3
	ask "$instance" POST "/$route/4" "$id" -H 'Accept: text/event-stream' -H 'Model: *' -H 'Token-Count: 100,50' \
		-H 'Prefix-Hash: aa:40,bb:60' "$@" | head -n 1
}
count_runs() { { runs e1; runs e2; } | grep -c "^$1 "; }
admin() { local e; for e in "$ADDR_e1" "$ADDR_e2"; do curl -s -o /dev/null -X POST "http://$e/admin/$1"; done; }
play() { # PREFIX INSTANCE
	local route i more statuses
	for route in once form chat; do
		statuses="" more=0
		for i in 1 2 3 4 5 6 7 8; do
			statuses="$statuses $(send $2 $route $1-$route-$i)"
			[ "$(count_runs $1-$route-$i)" -gt 1 ] && more=$((more + 1))
		done
		[ $route != chat ] && echo "$route:$statuses; ran more than once: $more"
		[ $route = chat ] && { [ $more -gt 0 ] && echo "chat:$statuses; still escalated" || echo "chat: none was escalated"; }
	done
}
echo "-- a low confidence"
play a n1
echo "-- engines that report that they are full, and then that they are free"
admin "places?m=1"
number=0
is_small() { number=$((number + 1)); send n1 once full-$number >/dev/null; { runs e1; runs e2; } | grep -q '^full-.* model=small '; }
wait_for "the small model is chosen" is_small
admin "places?m=64"
for i in 1 2 3 4; do send n1 once full-$i-after; done | sort | uniq -c | sed 's/^ *//'
echo "ran more than once: $({ runs e1; runs e2; } | grep '^full-' | cut -d ' ' -f 1 | sort | uniq -d | wc -l)"
echo "-- the model that the caller names"
send n1 once named -H 'Model: small'
echo "runs: $(count_runs named)"
echo "-- the server breaks off within the stream, or before an answer"
admin "mode?m=cut"
send n1 once cut >/dev/null
admin "mode?m=ok"
admin "largest?m=lost"
send n1 form lost
echo "runs: $(count_runs cut), $(count_runs lost)"
echo "-- the server reports that it has not run the request: another one is asked"
admin "largest?m=ok"
runner_mode e1 notrun
for i in 1 2 3 4; do send n1 once other-$i; done | sort | uniq -c | sed 's/^ *//'
runner_mode e1 ok
echo "-- through a peer"
set_links hang n1
is_partitioned() { send n1 once "seen-$RANDOM" >/dev/null; [ "$(metric n1 partitioned)" = 1 ]; }
wait_for "n1 knows that it is partitioned" is_partitioned
play p n1
are_forwarded() { [ "$(grep -c 'event=forward request=p-once' "$DIR/n1.log")" -ge 8 ]; }
in_time 1000 are_forwarded
set_links none n1
echo "-- a stop within a stream"
send n2 once stopped >"$DIR/stopped" &
CALLER=$!
begins() { [ "$(count_runs stopped)" = 1 ]; }
wait_for "it runs" begins
kill -TERM "$(pid_of n2)"
wait $CALLER
cat "$DIR/stopped"
wait "$(pid_of n2)"
echo "exit code $?, runs: $(count_runs stopped)"
