# Guards against a server that breaks an answer off after its head, which counts as a crash under the request on a
# direct path, and not through a peer: a poison request would then be tried again by each next instance.
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
knows_n2() { knows_peers 1 n1; }
wait_for "n1 knows n2" knows_n2
set_links hang n1
for i in 1 2 3; do ask n1 GET /read/1 f$i | head -n 1; done
stream n1 3 f4
is_noticed() { [ "$(metric n1 partitioned)" = 1 ]; }
wait_for "n1 knows that it is partitioned" is_noticed
failed_as() {
	has_ended() { grep -q "event=ended request=$ENDED " "$DIR/n1.log"; }
	ENDED=$1
	wait_for "the log has $1" has_ended
	grep "event=attempt_failed request=$1 " "$DIR/n1.log" | grep -o 'how=[a-z_]*' | sort | uniq -c | sed 's/^ *//'
}
echo "-- the answer to a non-idempotent request breaks off"
runner_mode a1 short
ask n1 POST /order/1 o1 -d x | head -n 1
failed_as o1
runner_mode a1 ok
echo "-- a server breaks a stream within an event: it is resumed"
runner_mode e1 cut
runner_mode e2 cut
stream n1 6 s1
failed_as s1
runner_mode e1 ok
runner_mode e2 ok
echo "-- the peer is killed within a stream: no fault of the server"
stream n1 40 s2 >/dev/null &
STREAM=$!
is_carried() { grep -q 'event=carried request=s2 ' "$DIR/n2.log"; }
wait_for "n2 forwards s2" is_carried
sleep 0.3
stop_now n2 2>/dev/null
wait $STREAM
failed_as s2 | head -n 1 | cut -d' ' -f2
