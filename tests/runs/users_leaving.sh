# A backend server reports in its answers that it leaves, while its entry in the server list says that it is ready: the
# store is away, then answers again, and the server renews its entry. Symptom this prevents: only the server list counted,
# and a leaving server got requests until it was gone.
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
press() { # SECONDS
	"$BUILD/tests/soak-callers" --entry $HOST_n1 --entry $HOST_n2 --entry $HOST_n3 --port "$P_FRONT" --seed 3 \
		--seconds "$1" --callers 9 >"$DIR/callers"
	awk '$2 != "badkey" && $5 != "ok" { print $2, $5 }' "$DIR/callers" | sort | uniq -c
}
got() { grep -c '^got ' "$DIR/a1.log"; }
check_unused() { local before; before=$(got); press 2; [ "$(got)" = "$before" ] && echo "a1 is not used" || echo "a1 is used"; }
press 1
[ "$(got)" -gt 5 ] && echo "a1 is used"
echo "-- the store is away and a1 reports that it leaves"
store_mode silent
runner_admin a1 leaving?m=1
knows() { grep -q "event=server_leaving server=a1" "$DIR/$1.log"; }
press_until_known() { press 1; on_all knows; }
wait_for "all know" press_until_known
check_unused
echo "-- the store answers again, and the entry says ready"
store_mode ok
list a1 app v1 ready
config 2 k1
has_config_2() { has_config "$1" 2; }
wait_for "all have read the store" on_all has_config_2
list a1 app v1 ready
check_unused
echo "-- an instance restarts and learns it from its peers"
stop_now n3
: >"$DIR/n3.log"
restart_entry n3
wait_for "n3 knows" knows n3
grep -o "event=server_leaving server=a1 source=n[12]" "$DIR/n3.log" | sed 's/source=.*/source=peer/'
wait_for "n3 ready" ready n3
check_unused
echo "-- a new start of the server is used"
runner a3 app v1
press_until_used() { press 1; grep -q '^got ' "$DIR/a3.log"; }
wait_for "a3 is used" press_until_used
check_unused
