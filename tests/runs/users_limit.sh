# A backend server reports a rate limit in its answers, below one request a second and above, and lifts it, while
# callers press on all instances and one of them restarts. Symptom this prevents: each instance went on placing requests
# by load alone, and the server got many times what it had asked for.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_reports.sh
store_start
config 1 k1
runner a1 app v1
runner a2 app v1
runner e1 llm v1 --gap 5
for n in n1 n2 n3; do entry $n; done
on_all() { for n in n1 n2 n3; do "$@" $n || return 1; done; }
wait_for "all ready" on_all ready
press() { # SECONDS: callers of all kinds at all instances; prints their results other than ok and refused
	"$BUILD/tests/soak-callers" --entry $HOST_n1 --entry $HOST_n2 --entry $HOST_n3 --port "$P_FRONT" --seed 3 \
		--seconds "$1" --callers 9 >"$DIR/callers"
	awk '$2 != "badkey" && $5 != "ok" && $5 != "refused" { print $2, $5 }' "$DIR/callers" | sort | uniq -c
}
knows_limit() { grep -q "event=server_limit server=a1 per_s=$1" "$DIR/$2.log"; }
check_limit() { # LIMIT
	: >"$DIR/a1.log"
	runner_admin a1 "limit?m=$1"
	press 9
	wait_for "all know the limit" on_all knows_limit "$1"
	[ "$(most_beyond_limit "$DIR/a1.log")" -le 5 ] && echo "kept" || echo "broken: $(most_beyond_limit "$DIR/a1.log") beyond"
	[ "$(requests_since_limit "$DIR/a1.log")" -gt 1 ] && echo "a1 is used" || echo "a1 is not used"
	grep -c ' refused ' "$DIR/callers" | sed 's/^0$/no caller was rejected/'
}
echo "-- a limit of 2.3 a second"
check_limit 2.3
echo "-- one of 0.8"
check_limit 0.8
[ "$(metric n1 'servers_reporting{report="limit"}')" = 1 ] && echo "counted in the metrics"
echo "-- an instance restarts and learns the limit from its peers"
stop_now n3
: >"$DIR/n3.log"
restart_entry n3
wait_for "n3 knows the limit" knows_limit 0.8 n3
grep -o "event=server_limit server=a1 per_s=0.800 source=n[12]" "$DIR/n3.log" | head -n 1 | sed 's/source=.*/source=peer/'
echo "-- an unreadable report changes nothing"
runner_admin a1 "limit?m=two"
is_invalid_logged() { press 1; grep -q "event=server_report_invalid server=a1 field=rate_limit" "$DIR"/n?.log; }
wait_for "the report logged" is_invalid_logged
grep -q "server_limit_lifted" "$DIR"/n?.log || echo "not lifted"
echo "-- the limit is lifted"
runner_admin a1 limit
is_lifted() { grep -q "event=server_limit_lifted server=a1" "$DIR/$1.log"; }
press_until_lifted() { press 1; on_all is_lifted; }
wait_for "lifted everywhere" press_until_lifted
: >"$DIR/a1.log"
press 2
[ "$(grep -c '^got ' "$DIR/a1.log")" -gt 20 ] && echo "a1 is used as before"
echo "-- both servers limit: what can't be served is rejected at once"
runner_admin a1 "limit?m=1"
runner_admin a2 "limit?m=1"
press 4
awk '$5 == "refused" && $7 > 1000 { n++ } END { print n + 0, "rejections took longer than 1 s" }' "$DIR/callers"
grep -q 'reason="the backend servers limit their requests"' "$DIR"/n?.log && echo "reason logged"
