# Callers' requests failed on every route of an engine service, in waves of ten to twenty seconds: three of
# twelve engines were up at a time. One caller sent one body again and again, to any instance; each engine
# that began to run it ended 50 ms later, with up to a hundred other requests. Each instance, each attempt
# and each retry of that caller was judged by itself, so the request was sent on: 54 servers ended under it,
# 24 of them after three had. What settled it were the engines' own ends: all connections of one broke
# within 10 ms at up to nine instances, 27 times in 23 s, and one request was under way at each.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_fatal.sh
KNOWN_MS=3000 # after the third end all instances know
store_start
config 1 k1
for i in 1 2 3 4 5 6; do runner "e$i" llm v1 --confidence $((i % 2 * 80 + 10)) --fatal deadly; done
for n in n1 n2 n3; do entry $n; done
for n in n1 n2 n3; do wait_for "$n ready" ready $n; done
deadly() { # ENTRY ID [CURL ARGS...]
	local entry=$1 id=$2
	shift 2
	ask "$entry" POST /chat/9 "$id" -H 'Accept: text/event-stream' -H 'Model: *' -H 'Token-Count: 100,50' \
		-H 'Prefix-Hash: aa:40,bb:60' -d 'a deadly question' -m 4 "$@" | head -1
}
(for i in $(seq 60); do
	stream "n$((i % 3 + 1))" 5 "h$i" -d "harmless $i" | grep -q 'id: 5 ' && echo ok || echo failed
	sleep 0.1
done >"$DIR/others") &
OTHERS=$!
echo "-- one body, 24 times in 8 s, at three instances in turn"
for i in $(seq 24); do
	deadly "n$((i % 3 + 1))" "d$i" >>"$DIR/answers"
	sleep 0.25
done
wait $OTHERS
echo "runs begun 3 s and later after the third end, $(at_most 3 "$(late_runs $KNOWN_MS)")"
echo "servers ended, $(at_most 9 "$(ends | wc -l)")"
echo "harmless requests that were whole, of 60: $(at_least 54 "$(grep -c ok "$DIR/others")")"
echo "-- what its caller is told: at once, not run, and nothing to come back for"
deadly n2 last -D "$DIR/head"
grep -ic '^retry-after' "$DIR/head"
wait_for "the line" grep -q "event=ended request=last" "$DIR/n2.log"
grep -oE 'event=refused request=last status=503 run=not retry_after_ms=-1' "$DIR/n2.log"
echo "-- another body of that caller, and that body on another path, are served"
stream n1 3 other -d 'a question'
echo "-- all instances end at once and start again: the request is still known"
for n in n1 n2 n3; do kill -KILL "$(pid_of $n)"; done
for n in n1 n2 n3; do wait "$(pid_of $n)" 2>/dev/null; entry_again $n; done
for n in n1 n2 n3; do wait_for "$n ready" ready $n; done
knows_again() { [ "$(metric "$1" quarantined)" = 1 ]; }
for n in n1 n2 n3; do wait_for "$n knows again" knows_again $n; done
BACK=$(uptime_ms)
sleep 0.5
for i in 1 2 3 4 5 6; do deadly "n$((i % 3 + 1))" "r$i" >/dev/null; done
echo "runs begun after that, $(at_most 0 "$(late_runs 500 "$BACK")")"
echo "-- an instance that is new"
entry n4
wait_for "n4 ready" ready n4
wait_for "n4 knows" knows_again n4
deadly n4 new
