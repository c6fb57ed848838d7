# One instance is partitioned from all backend servers, and peers forward its requests. Symptom this prevents: what holds
# for a request to a server does not hold for one that goes through a peer.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_fatal.sh
. tests/lib_cut.sh
store_start
config 1 k1
runner e1 llm v1 --confidence 90 --gap 50
runner e2 llm v1 --confidence 90 --gap 50
runner a1 app v1
start_instances n1 n2
ZONE=z2 entry n3
wait_for "n3 ready" ready n3
wait_for "n1 knows n3" knows_peers 2 n1
forwarded_by() { grep -c "event=carried request=$2 " "$DIR/$1.log"; }
run_count() { runs "$1" | grep -c "^$2 "; }
echo "-- connections of n1 hang: its first requests are served"
set_links hang n1
for i in 1 2 3; do ask n1 GET /read/1 f$i | head -n 1; done
stream n1 3 f4
is_noticed() { [ "$(metric n1 partitioned)" = 1 ]; }
wait_for "n1 knows that it is partitioned" is_noticed
echo "-- a request through a peer of the own failure domain; its id is in both logs"
ask n1 POST /order/1 o1 -d x -D "$DIR/head" | head -n 1
are_logged() { [ "$(forwarded_by n2 o1)" = 1 ] && grep -q 'event=ended request=o1' "$DIR/n1.log"; }
wait_for "both have logged o1" are_logged
echo "at n2: $(forwarded_by n2 o1), at n3: $(forwarded_by n3 o1), at n1: $(grep -c 'event=forward request=o1 peer=n2' "$DIR/n1.log")"
echo "runs: $(run_count a1 o1); the organisation: $(runs a1 | grep '^o1 ' | grep -o 'organisation=.*' | cut -d' ' -f1)"
echo "sealed: $(grep -ic '^server-seal' "$DIR/head"); fields between instances: $(grep -ic '^x-forward' "$DIR/head")"
echo "-- a stream, and its later part"
stream n1 6 s1
stream n1 6 s2 -H 'Last-Event-Id: 4'
echo "-- the caller leaves: the run ends within half a second"
curl -s -N -X POST -H 'Host: h' -H 'Attempt-Id: s3' -H 'Deadline-Ms: 20000' -H 'Authorization: Token k1' -H 'Model: *' \
	-H 'Accept: text/event-stream' -H 'Token-Count: 100,50' "http://$HOST_n1:$P_FRONT/chat/400" >/dev/null &
CALLER=$!
is_running() { [ $(($(running e1) + $(running e2))) -gt 0 ]; }
is_idle() { ! is_running; }
wait_for "s3 runs" is_running
kill $CALLER
in_time 500 is_idle
echo "-- the answer to a non-idempotent request breaks off"
runner_mode a1 short
ask n1 POST /order/1 o2 -d x | head -n 1
echo "runs: $(run_count a1 o2)"
echo "-- the server reports that it did not run it"
runner_mode a1 notrun
ask n1 POST /order/1 o3 -d x -D "$DIR/head" | head -n 1
echo "runs: $(run_count a1 o3); with the time to retry: $(grep -ic '^retry-after: 0\.' "$DIR/head")"
runner_mode a1 ok
echo "-- a server breaks a stream within an event: it is resumed"
runner_mode e1 cut
runner_mode e2 cut
stream n1 6 s4
runner_mode e1 ok
runner_mode e2 ok
echo "-- the peer is killed within a stream: it is resumed through another one"
stream n1 40 s5 >"$DIR/resumed" &
STREAM=$!
is_carried() { [ "$(forwarded_by n2 s5)" -gt 0 ]; }
wait_for "n2 forwards s5" is_carried
wait_for "it runs" is_running
sleep 0.3
stop_now n2 2>/dev/null
wait $STREAM
cat "$DIR/resumed"
is_resumed() { [ "$(forwarded_by n3 s5)" = 1 ]; }
in_time 1000 is_resumed
restart_entry n2
wait_for "n2 ready" ready n2
is_chosen() { ask n1 GET /read/1 "c$RANDOM" >/dev/null; [ "$(grep -c 'event=carried ' "$DIR/n2.log")" -gt "$before" ]; }
before=$(grep -c 'event=carried ' "$DIR/n2.log")
wait_for "n2 is asked again" is_chosen
echo "-- the peer is stopped within a stream: it ends whole"
stream n1 40 s6 >"$DIR/whole" &
STREAM=$!
carried_by_any() { [ $(($(forwarded_by n2 s6) + $(forwarded_by n3 s6))) -gt 0 ]; }
wait_for "s6 is forwarded" carried_by_any
[ "$(forwarded_by n2 s6)" -gt 0 ] && via=n2 || via=n3
kill -TERM "$(pid_of $via)"
wait $STREAM
cat "$DIR/whole"
wait "$(pid_of $via)"
echo "exit code $?"
is_asked_once() { [ "$(grep -c 'event=forward request=s6 ' "$DIR/n1.log")" = 1 ]; }
in_time 1000 is_asked_once
restart_entry $via
wait_for "$via ready" ready $via
echo "-- nobody forwards for others than instances"
HOST=$HOST_n3
door() { curl -s -m 5 -o /dev/null -w '%{http_code}\n' -X POST --data-binary "$(printf 'GET /read/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: door\r\n\r\n')" "$@" "http://$HOST:$P_PEER/forward/0"; }
door
door -H 'X-Forward-Key: 0'
door -H 'X-Forward-Key: 0000000000000001'
are_declined() { [ "$(grep -c 'event=declined .*why="unknown key"' "$DIR/n3.log")" = 3 ]; }
in_time 1000 are_declined
echo "-- the partition ends: n1 notices, and peers forward nothing more"
set_links none n1
is_over() { [ "$(metric n1 partitioned)" = 0 ]; }
in_time 1000 is_over
uses_peers() { ask n1 GET /read/1 "e$RANDOM" >/dev/null; stream n1 2 "e$RANDOM" >/dev/null; ask n1 GET /read/1 "$1" >/dev/null; grep -q "event=forward request=$1 " "$DIR/n1.log"; }
is_direct() { ! uses_peers "last$RANDOM"; }
in_time 1000 is_direct
