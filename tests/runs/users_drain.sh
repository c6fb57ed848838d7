# An operator drains one failure domain, then both, and restores them, while instances start, all restart, and the
# store drops its history. Symptom this prevents: no instance read the order, and the servers of a drained domain went
# on receiving all requests.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
ZONE=z2 runner a2 app v1
for n in n1 n2; do entry $n; done
ZONE=z2 entry n3 # an instance prefers servers of its own domain, so this one makes z2's server used
ALL="n1 n2 n3"
on_all() { # COMMAND...: with each instance appended
	for n in $ALL; do "$@" $n || return 1; done
}
wait_for "all ready" on_all ready
ask_each() { # COUNT: requests to every instance; prints how many were answered, by HTTP status
	for n in $ALL; do for i in $(seq "$1"); do ask $n GET /read/1 "r$RANDOM$i$n" | head -n 1; done; done | sort | uniq -c | awk '{print $2 ": " $1}'
}
print_use() { # NAME: whether the server received a request since the last call
	local now before
	now=$(runs "$1" | wc -l)
	eval "before=\${RUNS_$1:-0} RUNS_$1=$now"
	[ "$now" -gt "$before" ] && echo "$1 is used" || echo "$1 is not used"
}
check_use() { ask_each 10; print_use a1; print_use a2; }
is_logged() { # EVENT DOMAIN COUNT: on every instance, at least so often
	for n in $ALL; do [ "$(grep -c "event=$1 domain=$2 " "$DIR/$n.log")" -ge "$3" ] || return 1; done
}
check_use
echo "-- z1 is drained"
put keyed.op evacuate/z1 "{}"
wait_for "z1 drained everywhere" is_logged domain_drained z1 1
check_use
echo "-- an instance starts"
entry n4
ALL="n1 n2 n3 n4"
wait_for "n4 ready" ready n4
wait_for "n4 knows the drain" is_logged domain_drained z1 1
check_use
echo "-- z2 is drained too: requests are rejected at once, not run"
put keyed.op evacuate/z2 "{}"
wait_for "z2 drained everywhere" is_logged domain_drained z2 1
TIMES=$DIR/times
check_use
TIMES=
# The requests' own time: that of the processes which send them depends on what else the machine does.
awk '{ n++; sum += $1 } END { if (n == 40 && sum < 4) print "at once"; else print n " requests took " sum " s" }' "$DIR/times"
echo "-- z1 is restored, drained and restored"
put keyed.op evacuate/z1 ""
put keyed.op evacuate/z1 "{}"
put keyed.op evacuate/z1 ""
wait_for "z1 restored everywhere" is_logged domain_restored z1 1
is_served() { [ "$(ask "$1" GET /read/1 "s$RANDOM" | head -n 1)" = 200 ]; }
wait_for "all instances serve" on_all is_served
check_use
echo "-- all instances are killed at once and restarted"
for n in $ALL; do stop_now $n; : >"$DIR/$n.log"; done
for n in $ALL; do restart_entry $n; done
wait_for "all ready after the restart" on_all ready
wait_for "z2 is still drained" is_logged domain_drained z2 1
check_use
echo "-- z2 is restored while the store does not answer, and the history with that order is dropped"
store_mode silent
put keyed.op evacuate/z2 ""
store "expire?topic=keyed.op"
store_mode ok
wait_for "z2 restored everywhere" is_logged domain_restored z2 1
check_use
