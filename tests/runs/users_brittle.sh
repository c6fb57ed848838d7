# The servers of a service are brittle: one that rejects more than four requests in a second for want of room falls, and is
# back three seconds later. Symptom this prevents: a server's fall moves its load to the others, which fall next, and what
# comes back is pressed at once: no server stays up, and no caller is served, for as long as the load lasts.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_reports.sh
. tests/lib_fatal.sh
. tests/lib_cut.sh
store_start
config 1 k1
for i in 1 2 3; do runner a$i app v1 --places 6 --work-ms 100 --brittle 4 --down-ms 3000; done
runner e1 llm v1 --confidence 90
start_instances n1 n2 n3
falls() { cat "$DIR"/a[0-9].log | grep -c '^fell '; }
# press SECONDS CALLERS SERVERS: falls from when all instances know of the servers, 3 s after the begin of the load.
press() {
	local before began ended
	began=$(uptime_ms)
	press_begin "$1" "$2"
	sleep 3
	before=$(falls)
	press_end
	ended=$(uptime_ms)
	echo "falls: $(at_most $((2 + $3 / 10)) $(($(falls) - before)))"
	SERVED=$(cat "$DIR"/callers.* | awk -v a=$((began + 3000)) -v b="$ended" '
		($2 == "order" || $2 == "read") && $6 >= a && $6 < b { all++; ok += $5 == "ok" } END { print ok + 0, all + 0 }')
	echo "served: $SERVED" >&2
}
# in_hundred LEAST SERVED ALL
in_hundred() { [ $(($2 * 100)) -ge $(($1 * $3)) ] && echo "at least $1 in 100: yes" || echo "at least $1 in 100: no, $2 of $3"; }
echo "-- three servers, two thirds of the load that they can run"
press 12 25 3
echo "callers served, $(in_hundred 90 $SERVED)"
sleep 4
echo "-- six servers, far more than they can run; fewer places from the middle on"
for i in 4 5 6; do runner a$i app v1 --places 6 --work-ms 100 --brittle 4 --down-ms 3000; done
knows_a6() { grep -q 'event=server server=a6' "$DIR/$1.log"; }
wait_for "all know a6" on_all knows_a6
(sleep 6; for i in 1 2 3 4 5 6; do runner_admin a$i "places?m=4"; done) &
press 12 120 6
# Each server runs ten requests a second in each place, 60 or 40, for 9 s.
echo "callers served, $(in_hundred 50 ${SERVED% *} 2760)"
check_guarantees
echo "-- a third of the load"
press 6 12 6
echo "callers served, $(in_hundred 95 $SERVED)"
