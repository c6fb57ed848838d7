# Entries of the server list: a server restarts under its name, a stale entry of its earlier process arrives late, and
# other clients write invalid entries. Symptoms this prevents: a stream waits for a process that has terminated; a
# running server receives no requests; requests are sent to addresses without a server. An instance that has the list
# from a peer is checked as well.
. tests/lib.sh
. tests/lib_users.sh
list_born() { # NAME STATE BORN: lists an engine's process that started at BORN, in ms
	eval "local address=\$ADDR_$1"
	put keyed.servers "$1" "{\"service\":\"llm\",\"address\":\"$address\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":\"$2\",\"cold_left_ms\":0,\"seq\":1,\"born\":$3}"
}
store_start
config 1 k1
runner a1 app v1
runner e1 llm v1 --confidence 90 --gap 50
list_born e1 ready 1000
entry n1
wait_for "ready" ready n1
wait_for "e1 listed" grep -q 'event=server server=e1 born_ms=1000' "$DIR/n1.log"
echo "-- a process stops answering and its server restarts: the stream resumes on another server at once"
stream n1 100 s1 >"$DIR/s1" &
stream_pid=$!
wait_for "events" eval 'grep -q "^s1 " <<<"$(runs e1)"'
kill -STOP "$PID_e1"
runner e2 llm v1 --confidence 90 --gap 5
wait_for "e2 listed" grep -q 'event=server server=e2 ' "$DIR/n1.log"
list_born e1 ready 2000
wait_for "restarted" grep -q 'event=server server=e1 born_ms=2000 listing=restarted' "$DIR/n1.log"
wait $stream_pid
grep -o '^200' "$DIR/s1"
grep -o 'id: *[0-9]*' "$DIR/s1" | sort -u | wc -l
grep -o 'event=attempt_failed request=s1 server=e1 how=[a-z]*' "$DIR/n1.log"
kill -CONT "$PID_e1"
echo "-- an instance has the list from a peer; a late entry of the earlier process is ignored by both"
store_mode busy
entry n2
wait_for "n2 ready" ready n2
wait_for "from a peer" grep -q 'event=taken_from_peer topic=servers' "$DIR/n2.log"
store_mode ok
# n2 has not read the store: later records reach it from n1, or by its own reads once it is a reader.
echo "collected by n2: $(grep -c 'event=collected' "$DIR/n2.log")"
list_born e1 draining 1000
wait_for "the late entry on n1" grep -q 'event=server server=e1 born_ms=1000 listing=late' "$DIR/n1.log"
wait_for "the late entry on n2" grep -q 'event=server server=e1 born_ms=1000 listing=late' "$DIR/n2.log"
put keyed.servers e2 ""
is_removed() { grep -q 'event=server_gone server=e2' "$DIR/$1.log"; }
wait_for "e2 removed" eval "is_removed n1 && is_removed n2"
stream n1 3 s2
stream n2 3 s3
echo "-- unreadable entries list no server; the others stay listed; many are logged in few lines"
for i in $(seq 60); do put keyed.servers "x$i" "{\"service\":\"llm\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\"}"; done
put keyed.servers a1 "$(printf 'no entry \200')"
# is_unserved INSTANCE: the service app has no server.
is_unserved() { [ "$(ask "$1" GET /read/1 "g$RANDOM" | head -1)" = 503 ]; }
wait_for "a1 not used" eval "is_unserved n1 && is_unserved n2"
stream n1 3 s4
stream n2 3 s5
for n in n1 n2; do [ "$(grep -c event=not_understood "$DIR/$n.log")" -le 20 ] && echo "few lines"; done
list a1 app v1 ready
wait_for "a1 used" eval '[ "$(ask n1 GET /read/1 "h$RANDOM" | head -1)" = 200 ]'
echo "used again with a valid entry"
echo "-- the read that waits for a roll-out order is lost: the first server of the new version makes instances read it"
store "deaf?topic=keyed.op"
put keyed.op rollout/llm "{\"service\":\"llm\",\"target\":\"v2\",\"duration_s\":20}"
failed_reads() { cat "$DIR/n1.log" "$DIR/n2.log" | grep -c 'event=store_lost topic=operator'; }
before=$(failed_reads)
runner e3 llm v2 --confidence 90
wait_for "the order is known" eval 'grep -q "event=rollout_ordered service=llm target=v2" "$DIR/n1.log" "$DIR/n2.log"'
grep -ho 'event=newcomer service=llm software=v2' "$DIR/n1.log" "$DIR/n2.log" | sort -u
echo "reads that failed before: $(($(failed_reads) - before))"
