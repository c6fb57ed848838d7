# Symptom: a failure domain cut off served a withdrawn version, ran an order twice, or stopped.
# Sequence: d3 is cut from the platform but not from its peers; an edit is made; then from both;
# another edit; an order on either side; then all heals.
# Cause: instances learned only from the platform. Peers pass records on; alone, a domain serves
# what it knows, and takes no guarded order.
. tests/lib.sh
start_platform
for d in 1 2 3; do engine r$d d$d --versions m/1,m/2; done
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,m,2,100,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3
proxy p3 "$PLATFORM"
# The peers' ways to and from e3 go through proxies too.
proxy to3a "$PEER_e3"; proxy to3b "$PEER_e3"; proxy from3a "$PEER_e1"; proxy from3b "$PEER_e2"
PLATFORM_e3=$ADDR_p3
peer() { echo "{\"instance\":\"$1\",\"failure_domain\":\"$2\",\"address\":\"$3\"}"; }
PEERS_e1="$(peer e2 d2 "$PEER_e2"),$(peer e3 d3 "$ADDR_to3a")"
PEERS_e2="$(peer e1 d1 "$PEER_e1"),$(peer e3 d3 "$ADDR_to3b")"
PEERS_e3="$(peer e1 d1 "$ADDR_from3a"),$(peer e2 d2 "$ADDR_from3b")"
instance e1 "\"peer_address\": \"$ADDR_from3a\","
instance e2 "\"peer_address\": \"$ADDR_from3b\","
instance e3 "\"peer_address\": \"$ADDR_to3a\","
live_peers() { [ "$(curl -s "http://$(operator_of "$1")/status" | grep -o '"state":"live"' | wc -l)" -eq "$2" ]; }
wait_for "all see all" live_peers e3 2
versions() { for i in $(seq 20); do chat "$1" "$KEY" m -H "X-Request-Id: $1-$2-$i" -D - -o /dev/null | grep -i '^x-model-version' | tr -d '\r' | cut -d' ' -f 2; done | sort | uniq -c | awk '{print $2}' | xargs; }
echo "before: $(versions e3 a)"
faults p3 refuse
cwctl table set a m 1 state withdrawn | sed 's/.*/withdrawn 1/'
wait_for "the edit is in force, on e3 by its peers" in_force 3
echo "cut from the platform: $(versions e3 b)"
for p in to3a to3b from3a from3b; do faults $p refuse; done
wait_for "e3 is alone" live_peers e3 0
cwctl table set a m 1 state allowed >/dev/null
cwctl table set a m 2 state withdrawn | sed 's/.*/allowed 1, withdrawn 2/'
INSTANCES="e1 e2"; wait_for "in force on the other side" in_force 5; INSTANCES="e1 e2 e3"
echo "the other side: $(versions e1 c)"
echo "alone it serves what it knows: $(versions e3 c)"
order e3 "$KEY" k1 '{}' >"$DIR/refused"
echo "an order to it: $(field code <"$DIR/refused") $(field run <"$DIR/refused")"
echo "the same order to the other side: $(order e1 "$KEY" k1 '{}' | field key)"
for p in p3 to3a to3b from3a from3b; do faults $p pass; done
wait_for "e3 has caught up" in_force 5
echo "healed: $(versions e3 d)"
replayed() { order e3 "$KEY" k1 '{}' -D "$DIR/head" | grep -q '"order"'; }
wait_for "e3 reads claims" replayed
echo "the order again: replayed $(grep -ci x-replayed "$DIR/head"), taken $(runs o1 | grep -o k1 | wc -l)"
wait_for "all bills" bills_are 101
echo "bills: $(bill_count)"
# One way only: what e3 sends to the platform goes nowhere; freezes look like that.
faults p3 block_up
order e3 "$KEY" k2 '{}' >"$DIR/refused"
echo "one way blocked: $(field code <"$DIR/refused") $(field run <"$DIR/refused")"
faults p3 pass
echo "taken: $(runs o1 | grep -o k2 | wc -l)"
