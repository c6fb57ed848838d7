# The store comes back from an older copy that lacks the order and the outcome of a roll-out, a drained failure domain and
# a quarantined request. Symptom this prevents: an outcome that was published is missing for good, a drain is undone until
# the operator orders it again, or a roll-out is done twice.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
ZONE=z2 runner a2 app v1
start_instances n1 n2 n3
outcome() { store_newest keyed.status rollout/app | sed -n 's/.*"state":"\([a-z_]*\)".*/\1/p'; }
is_published() { [ "$(outcome)" = reverted ]; }
in_era() { [ "$(metric "$1" store_era)" = "$ERA" ]; }
store copy
runner b1 app v2
put keyed.op rollout/app '{"service":"app","target":"v2","duration_s":4}'
wait_for "the outcome is published" is_published
put keyed.op evacuate/z2 "{}"
is_drained() { grep -q 'event=domain_drained domain=z2' "$DIR/$1.log"; }
wait_for "z2 drained everywhere" on_all is_drained
orders_of() { grep -c 'event=rollout_ordered' "$DIR/$1.log"; }
ORDERS=$(for n in $ALL; do orders_of $n; done | paste -sd' ')
echo "-- the copy has none of it, and the operator writes again after a second"
store "restore"
ERA=2
wait_for "all know of the copy" on_all in_era
sleep 1
cat "$DIR"/n?.log | grep -c 'event=domain_restored'
store "rewrite?topic=keyed.op"
echo "-- the outcome is published again, once"
in_time 5000 is_published
sleep 3
store_count keyed.status rollout/app
cat "$DIR"/n?.log | grep -c 'event=domain_restored'
[ "$(for n in $ALL; do orders_of $n; done | paste -sd' ')" = "$ORDERS" ] && echo "no roll-out began again"
for n in $ALL; do ask $n GET /read/1 "r$n" | head -n 1; done
runs a2 | wc -l
echo "-- the copy has all of it: nothing is written"
store copy
store "restore"
ERA=3
wait_for "all know of the copy" on_all in_era
sleep 4
store_count keyed.status rollout/app
echo "-- z2 is restored, and the copy still has it drained"
put keyed.op evacuate/z2 ""
is_restored() { grep -q 'event=domain_restored domain=z2' "$DIR/$1.log"; }
wait_for "z2 restored everywhere" on_all is_restored
drains() { cat "$DIR"/n?.log | grep -c 'event=domain_drained'; }
DRAINS=$(drains)
store "restore"
ERA=4
wait_for "all know of the copy" on_all in_era
sleep 1
store "rewrite?topic=keyed.op"
sleep 3
[ "$(drains)" = "$DRAINS" ] && echo "z2 is not drained again"
