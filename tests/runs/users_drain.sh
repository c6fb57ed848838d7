# An operator drains a failure domain, both, and takes it back; instances start meanwhile, all start again, and the
# store's history goes. Symptom: the order was read nowhere, and servers that were to be left alone went on getting all.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
ZONE=z2 runner a2 app v1
for n in n1 n2; do entry $n; done
ZONE=z2 entry n3 # a server of the own domain comes first: both are used
ALL="n1 n2 n3"
all() { for n in $ALL; do "$@" $n || return 1; done; }
wait_for "all ready" all ready
ask_each() { # COUNT: of every instance; prints how many were answered 200, and by other codes
	for n in $ALL; do for i in $(seq "$1"); do ask $n GET /read/1 "r$RANDOM$i$n" | head -n 1; done; done | sort | uniq -c | awk '{print $2 ": " $1}'
}
grew() { # NAME: did it get any request since the last call
	local now before
	now=$(runs "$1" | wc -l)
	eval "before=\${RUNS_$1:-0} RUNS_$1=$now"
	[ "$now" -gt "$before" ] && echo "$1 is used" || echo "$1 gets nothing"
}
used() { ask_each 10; grew a1; grew a2; }
in_force() { # EVENT DOMAIN COUNT
	for n in $ALL; do [ "$(grep -c "event=$1 domain=$2 " "$DIR/$n.log")" -ge "$3" ] || return 1; done
}
used
echo "-- z1 is drained"
put keyed.op evacuate/z1 "{}"
wait_for "z1 drained everywhere" in_force domain_drained z1 1
used
echo "-- an instance starts"
entry n4
ALL="n1 n2 n3 n4"
wait_for "n4 ready" ready n4
wait_for "n4 knows" in_force domain_drained z1 1
used
echo "-- z2 too: refused at once, not run"
put keyed.op evacuate/z2 "{}"
wait_for "z2 drained everywhere" in_force domain_drained z2 1
BEGAN=$(date +%s%3N)
used
[ $(($(date +%s%3N) - BEGAN)) -lt 4000 ] && echo "at once"
echo "-- z1 is taken back, drained and taken back again"
put keyed.op evacuate/z1 ""
put keyed.op evacuate/z1 "{}"
put keyed.op evacuate/z1 ""
wait_for "z1 taken back everywhere" in_force domain_restored z1 1
served() { [ "$(ask "$1" GET /read/1 "s$RANDOM" | head -n 1)" = 200 ]; }
wait_for "all serve" all served
used
echo "-- all end at once and start again"
for n in $ALL; do stop_now $n; : >"$DIR/$n.log"; done
for n in $ALL; do entry_again $n; done
wait_for "all ready again" all ready
wait_for "z2 is still drained" in_force domain_drained z2 1
used
echo "-- z2 is taken back while the store is silent, and the history goes with the order"
store_mode silent
put keyed.op evacuate/z2 ""
store "expire?topic=keyed.op"
store_mode ok
wait_for "z2 taken back everywhere" in_force domain_restored z2 1
used
