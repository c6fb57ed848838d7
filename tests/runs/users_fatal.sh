# A poison request is quarantined. One caller sent one body repeatedly, to any instance, and each engine crashed 50 ms
# after it began to run the body, with up to a hundred other requests: three of twelve engines were up at a time, and
# requests failed on every route of the service in waves of ten to twenty seconds. Each instance, attempt and retry was
# judged by itself, so the request was sent on: 54 servers crashed, 24 of them after the third crash. The crashes gave
# the evidence: all connections of an engine broke within 10 ms at up to nine instances, 27 times in 23 s, and that one
# request was in progress at each.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_fatal.sh
KNOWN_MS=3000 # after the third crash, until all instances have quarantined the request
store_start
config 1 k1
for i in 1 2 3 4 5 6; do runner "e$i" llm v1 --confidence $((i % 2 * 80 + 10)) --fatal poison; done
for n in n1 n2 n3; do entry $n; done
for n in n1 n2 n3; do wait_for "$n ready" ready $n; done
send_poison() { # ENTRY ID [CURL ARGS...]
	local entry=$1 id=$2
	shift 2
	ask "$entry" POST /chat/9 "$id" -H 'Accept: text/event-stream' -H 'Model: *' -H 'Token-Count: 100,50' \
		-H 'Prefix-Hash: aa:40,bb:60' -d 'a poison question' -m 4 "$@" | head -1
}
(for i in $(seq 60); do
	stream "n$((i % 3 + 1))" 5 "h$i" -d "harmless $i" | grep -q 'id: 5 ' && echo ok || echo failed
	sleep 0.1
done >"$DIR/others") &
OTHERS=$!
echo "-- one poison body, 24 times in 8 s, to three instances in turn"
for i in $(seq 24); do
	send_poison "n$((i % 3 + 1))" "d$i" >>"$DIR/answers"
	sleep 0.25
done
wait $OTHERS
echo "poison runs begun later than 3 s after the third crash, $(at_most 3 "$(count_late_runs $KNOWN_MS)")"
echo "servers that crashed, $(at_most 9 "$(crash_times | wc -l)")"
echo "harmless requests with a complete answer, of 60: $(at_least 54 "$(grep -c ok "$DIR/others")")"
echo "-- its caller is rejected at once: not run, and without a time to retry"
send_poison n2 last -D "$DIR/head"
grep -ic '^retry-after' "$DIR/head"
wait_for "the request ended" grep -q "event=ended request=last" "$DIR/n2.log"
grep -oE 'event=refused request=last status=503 run=not retry_after_ms=-1' "$DIR/n2.log"
echo "-- another body of that caller, and that body on another path, are served"
stream n1 3 other -d 'a question'
echo "-- all instances are killed at once and restarted: the request is still quarantined"
for n in n1 n2 n3; do kill -KILL "$(pid_of $n)"; done
for n in n1 n2 n3; do wait "$(pid_of $n)" 2>/dev/null; restart_entry $n; done
for n in n1 n2 n3; do wait_for "$n ready" ready $n; done
has_quarantined() { [ "$(metric "$1" quarantined)" = 1 ]; }
for n in n1 n2 n3; do wait_for "$n knows the quarantine" has_quarantined $n; done
RESTORED_MS=$(uptime_ms)
sleep 0.5
for i in 1 2 3 4 5 6; do send_poison "n$((i % 3 + 1))" "r$i" >/dev/null; done
echo "poison runs begun after that, $(at_most 0 "$(count_late_runs 500 "$RESTORED_MS")")"
echo "-- a new instance"
entry n4
wait_for "n4 ready" ready n4
wait_for "n4 knows the quarantine" has_quarantined n4
send_poison n4 new
