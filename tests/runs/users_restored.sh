# The store comes back from an older copy that lacks the newest configurations. What the operator wrote is written again,
# and later changes get offsets that had been given out before. Symptom this prevents: instances skip the records at those
# offsets, and serve a key for seconds after it was revoked.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
start_instances n1 n2 n3
VERSION=1
CURRENT_KEY=k1
publish() { # KEY: the next configuration, with this key alone
	VERSION=$((VERSION + 1))
	config $VERSION "$1"
	CURRENT_KEY=$1
}
has_version() { has_config "$1" $VERSION; }
lose() { # COUNT: configurations that the copy lacks
	store copy
	for i in $(seq "$1"); do publish "lost$VERSION"; done
	wait_for "all have the newest" on_all has_version
}
status_of() { KEY=$1 ask "$2" GET /read/1 "r$RANDOM" | head -n 1; }
# revoke KEY: replaces the key in force by KEY; prints whether that takes effect within 2 s, and the HTTP status of requests
# with the new key and with the revoked one, at each instance.
revoke() {
	local revoked=$CURRENT_KEY
	publish "$1"
	in_time 2000 on_all has_version
	for n in $ALL; do echo "$(status_of "$1" $n) $(status_of "$revoked" $n)"; done | sort | uniq -c | sed 's/^ *//'
}
echo "-- the log is shorter than before"
lose 6
store_restore
revoke first
echo "-- the log is as long as before"
lose 5
store_restore
for i in 1 2 3; do publish "more$i"; done
revoke second
echo "-- the log is longer than before"
lose 2
store_restore
for i in 1 2 3 4 5; do publish "yet$i"; done
revoke third
echo "-- the log is as long as before, and reads go on waiting"
lose 5
store_restore kept
for i in 1 2 3; do publish "kept$i"; done
revoke fourth
echo "-- the store is away, comes back from the copy, and does so again"
lose 4
store_mode reset
wait_for "the outage is noticed" eval 'cat "$DIR"/n?.log | grep -q "event=store_lost"'
store_restore
store_mode ok
sleep 0.3
store_restore
for i in 1 2; do publish "twice$i"; done
revoke fifth
echo "-- the store names no era, and the log is shorter than before"
store "era?is="
lose 6
store_restore
revoke sixth
echo "-- it names one again"
store "era?is=9"
lose 2
store_restore
revoke seventh
echo "-- an instance starts after it"
lose 5
store_restore
for i in 1 2 3; do publish "start$i"; done
entry n4
wait_for "n4 ready" ready n4
ALL="n1 n2 n3 n4"
revoke eighth
