# Backend servers reject requests and ask for rest: one of two, then both, then none. Symptom this prevents: a server that
# had asked one instance for 2 s of rest got tens of requests from it in that time.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_reports.sh
store_start
config 1 k1
runner a1 app v1
runner a2 app v1
runner e1 llm v1 --gap 5
entry n1
wait_for "n1 ready" ready n1
press() { # SECONDS
	"$BUILD/tests/soak-callers" --entry $HOST_n1 --port "$P_FRONT" --seed 3 --seconds "$1" --callers 6 >"$DIR/callers"
	awk '$2 != "badkey" && $5 != "ok" && $5 != "refused" { print $2, $5 }' "$DIR/callers" | sort | uniq -c
}
check_rest() { # SERVER
	[ "$(grep -c '^rest ' "$DIR/$1.log")" -gt 1 ] && echo "$1 is asked again after its rest"
	[ "$(most_in_rest "$DIR/$1.log")" -le 2 ] && echo "kept" || echo "broken: $(most_in_rest "$DIR/$1.log")"
}
echo "-- one of two servers asks for rest"
runner_admin a1 rest?m=2
press 5
check_rest a1
awk '$2 == "read" && $5 == "refused"' "$DIR/callers" | wc -l | sed 's/^0$/no call that may be repeated was rejected/'
grep -q "event=server_rest server=a1 rest_ms=2000" "$DIR/n1.log" && echo "logged"
echo "-- both do"
runner_admin a2 rest?m=2
press 5
check_rest a1
check_rest a2
awk '$5 == "refused" && $7 > 1000 { n++ } END { print n + 0, "rejections took longer than 1 s" }' "$DIR/callers"
grep -q 'reason="the backend servers asked for rest"' "$DIR/n1.log" && echo "reason logged"
echo "-- none does"
runner_admin a1 rest
runner_admin a2 rest
: >"$DIR/a1.log"
press_until_used() { press 1; grep -q '^run ' "$DIR/a1.log"; }
wait_for "a1 is used" press_until_used
echo "a1 is used"
