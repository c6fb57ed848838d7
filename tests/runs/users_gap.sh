# Many servers change while the store drops its history: two instances read the whole list again, and the others get
# it from them. Symptom this prevents: instances keep sending to servers that were removed, and are answered by other
# processes at the same addresses.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
for n in n1 n2 n3 n4 n5; do entry $n; done
on_all() { # COMMAND...: with each instance appended
	for n in n1 n2 n3 n4 n5; do "$@" $n || return 1; done
}
wait_for "all ready" on_all ready
# With all peers known, ranks are stable: two of the five instances read the store.
knows_peers() { [ "$(grep -c 'event=peer ' "$DIR/$1.log")" -ge 4 ]; }
wait_for "all know each other" on_all knows_peers
calls() { for n in n1 n2 n3 n4 n5; do metric $n store_calls; done; }
echo "-- 60 servers are listed, one is removed and the history dropped, while the store does not answer"
store_mode silent
for i in $(seq 60); do put keyed.servers "x$i" "{\"service\":\"app\",\"address\":\"$ADDR_a1\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"draining\",\"cold_left_ms\":0,\"seq\":1}"; done
put keyed.servers a1 ""
store "expire?topic=keyed.servers"
store_mode ok
lists_last() { grep -q 'event=server server=x60 ' "$DIR/$1.log"; }
wait_for "all list the last server" on_all lists_last
# is_removed INSTANCE: it does not list a1 any more, or has no server to send to.
is_removed() { grep -q 'event=server_gone server=a1' "$DIR/$1.log" || ! [ "$(ask "$1" GET /read/1 "g$RANDOM" | head -1)" = 200 ]; }
wait_for "no instance uses the removed server" on_all is_removed
echo "all servers are listed, the removed one is not used"
