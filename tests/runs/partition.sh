# Guards against a partitioned failure domain that serves a withdrawn version, runs an order twice or stops
# serving. d3 loses its connection to the platform but not to its peers, and an edit is made; then d3 loses
# its peers too, another edit is made and an order is sent to either side; then the network recovers.
# Instances learned of edits from the platform only. Now peers forward records; an isolated domain serves by
# its last table and refuses orders, which need a claim in the log.
. tests/lib.sh
start_platform
for d in 1 2 3; do engine r$d d$d --versions m/1,m/2; done
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,m,2,100,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3
start_proxy p3 "$PLATFORM"
# The peers' connections to and from e3 go through proxies too.
start_proxy to3a "$PEER_e3"; start_proxy to3b "$PEER_e3"; start_proxy from3a "$PEER_e1"; start_proxy from3b "$PEER_e2"
PLATFORM_e3=$ADDR_p3
peer_settings() { echo "{\"instance\":\"$1\",\"failure_domain\":\"$2\",\"address\":\"$3\"}"; }
PEERS_e1="$(peer_settings e2 d2 "$PEER_e2"),$(peer_settings e3 d3 "$ADDR_to3a")"
PEERS_e2="$(peer_settings e1 d1 "$PEER_e1"),$(peer_settings e3 d3 "$ADDR_to3b")"
PEERS_e3="$(peer_settings e1 d1 "$ADDR_from3a"),$(peer_settings e2 d2 "$ADDR_from3b")"
instance e1 "\"peer_address\": \"$ADDR_from3a\","
instance e2 "\"peer_address\": \"$ADDR_from3b\","
instance e3 "\"peer_address\": \"$ADDR_to3a\","
has_live_peers() { [ "$(curl -s "http://$(operator_of "$1")/status" | grep -o '"state":"live"' | wc -l)" -eq "$2" ]; }
wait_for "e3 sees its peers" has_live_peers e3 2
served_versions() { for i in $(seq 20); do chat "$1" "$KEY" m -H "X-Request-Id: $1-$2-$i" -D - -o /dev/null | grep -i '^x-model-version' | tr -d '\r' | cut -d' ' -f 2; done | sort | uniq -c | awk '{print $2}' | xargs; }
echo "before: $(served_versions e3 a)"
set_fault p3 refuse
cwctl table set a m 1 state withdrawn | sed 's/.*/withdrawn 1/'
wait_for "the edit is in force, on e3 through its peers" has_table_offset 3
echo "without the platform: $(served_versions e3 b)"
for p in to3a to3b from3a from3b; do set_fault $p refuse; done
wait_for "e3 is isolated" has_live_peers e3 0
cwctl table set a m 1 state allowed >/dev/null
cwctl table set a m 2 state withdrawn | sed 's/.*/allowed 1, withdrawn 2/'
INSTANCES="e1 e2"; wait_for "in force on the other side" has_table_offset 5; INSTANCES="e1 e2 e3"
echo "the other side: $(served_versions e1 c)"
echo "isolated, e3 serves by its last table: $(served_versions e3 c)"
order e3 "$KEY" k1 '{}' >"$DIR/refused"
echo "an order to e3: $(json_field code <"$DIR/refused") $(json_field run <"$DIR/refused")"
echo "the same order to the other side: $(order e1 "$KEY" k1 '{}' | json_field key)"
for p in p3 to3a to3b from3a from3b; do set_fault $p pass; done
wait_for "e3 has caught up" has_table_offset 5
echo "recovered: $(served_versions e3 d)"
is_replayed() { order e3 "$KEY" k1 '{}' -D "$DIR/head" | grep -q '"order"'; }
wait_for "e3 reads claims" is_replayed
echo "the order retried: replayed $(grep -ci x-replayed "$DIR/head"), received $(runs o1 | grep -o k1 | wc -l)"
wait_for "all bills" has_bills 101
echo "bills: $(bill_count)"
# One direction only: what e3 sends to the platform is dropped, as when the platform hangs.
set_fault p3 block_up
order e3 "$KEY" k2 '{}' >"$DIR/refused"
echo "one direction blocked: $(json_field code <"$DIR/refused") $(json_field run <"$DIR/refused")"
set_fault p3 pass
echo "received: $(runs o1 | grep -o k2 | wc -l)"
