# The store away, silent, with its history gone: what was known stays in force, what changed is learned on its
# return, and an instance that starts meanwhile learns from a peer.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
entry n1
wait_for "ready" ready n1
echo "-- silent: callers are served"
store_mode silent
wait_for "lost" grep -q 'event=store_lost' "$DIR/n1.log"
ask n1 GET /read/1 r1 | head -1
echo "-- an instance starts while the store turns everyone away, and serves"
store_mode busy
entry n2
wait_for "n2 ready" ready n2
wait_for "the line" grep -q 'event=taken_from_peer topic=servers' "$DIR/n2.log"
echo "taken from a peer"
ask n2 GET /read/1 r2 | head -1
echo "-- a change made during the outage is in force after it"
config 2 k2
store_mode ok
wait_for "in force" eval "knows n1 2 && knows n2 2"
KEY=k2 ask n1 GET /read/1 r3 | head -1
ask n2 GET /read/1 r4 | head -1
echo "-- the history is gone: the newest records are read"
store "expire?topic=keyed.op"
store "expire?topic=keyed.servers"
store_mode reset
wait_for "lost again" eval '[ "$(grep -c "event=store_lost" "$DIR/n1.log")" -ge 2 ]'
config 3 k3
store "expire?topic=keyed.op"
store_mode ok
wait_for "in force" eval "knows n1 3 && knows n2 3"
KEY=k3 ask n2 GET /read/1 r5 | head -1
echo "-- a server that left is not used"
put keyed.servers a1 ""
gone_there() { [ "$(KEY=k3 ask "$1" GET /read/1 "g$RANDOM" | head -1)" = 503 ]; }
wait_for "gone" eval "gone_there n1 && gone_there n2"
echo "gone on both"
