# The store comes back from an older copy of the server list, in which servers that left or were removed are ready, and
# others are missing. Symptom this prevents: a removed server gets requests, as the record of its removal is skipped; or a
# server that has left gets requests again, or one that works gets none.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
for a in a1 a2 a3; do runner $a app v1; done
start_instances n1 n2 n3
press() { for i in $(seq 12); do for n in $ALL; do ask $n GET /read/1 "p$RANDOM$i$n" | head -n 1; done; done | grep -vc 200; }
use_of() { # NAME...: which of the servers get requests now, and how many requests fail
	local name failed
	for name in "$@"; do eval "BEFORE_$name=$(runs "$name" | wc -l)"; done
	failed=$(press)
	for name in "$@"; do eval "[ \"$(runs "$name" | wc -l)\" -gt \"\$BEFORE_$name\" ]" && echo "$name is used" || echo "$name is not used"; done
	echo "failed: $failed"
}
use_of a1 a2 a3
echo "-- six records of a2 are lost; a3 is removed at an offset that was given out before"
store copy
for i in 1 2 3; do list a2 app v1 draining; list a2 app v1 ready; done
is_cold() { [ "$(grep -c 'event=server server=a2 ' "$DIR/$1.log")" -ge 2 ]; }
wait_for "all have read them" on_all is_cold
store_restore
list a2 app v1 ready
sleep 3
put keyed.servers a3 ""
is_gone() { grep -q 'event=server_gone server=a3' "$DIR/$1.log"; }
in_time 2000 on_all is_gone
use_of a1 a2 a3
echo "-- a1 begins to leave, a new server is listed and a2 is removed; the copy has none of it"
echo "-- until the servers write again, a second later"
store copy
list a1 app v1 draining
runner a4 app v1
put keyed.servers a2 ""
knows() { grep -q 'event=server server=a1 .* leaving=1' "$DIR/$1.log" && grep -q 'event=server server=a4 ' "$DIR/$1.log" && grep -q 'event=server_gone server=a2' "$DIR/$1.log"; }
wait_for "all know" on_all knows
store_restore
(sleep 1; store "rewrite?topic=keyed.servers") &
WRITER=$!
in_era() { [ "$(metric "$1" store_era)" = 3 ]; }
wait_for "all know of the copy" on_all in_era
use_of a1 a2 a4
wait $WRITER
echo "-- the servers have written again"
use_of a1 a2 a4
sleep 7
use_of a1 a2 a4
