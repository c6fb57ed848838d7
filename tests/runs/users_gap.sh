# Many servers change while the store's history goes: two instances read the list anew, the others get it whole from
# them. Symptom: instances go on sending to servers that have left and are answered by strangers at their addresses.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
for n in n1 n2 n3 n4 n5; do entry $n; done
all() { for n in n1 n2 n3 n4 n5; do "$@" $n || return 1; done; }
wait_for "all ready" all ready
# Peers are known and ranks are settled: two of the five read.
heard() { [ "$(grep -c 'event=peer ' "$DIR/$1.log")" -ge 4 ]; }
wait_for "all heard of each other" all heard
calls() { for n in n1 n2 n3 n4 n5; do metric $n store_calls; done; }
echo "-- 60 servers come, one goes, and the history with them, while the store is silent"
store_mode silent
for i in $(seq 60); do put keyed.servers "x$i" "{\"service\":\"app\",\"address\":\"$ADDR_a1\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"draining\",\"cold_left_ms\":0,\"seq\":1}"; done
put keyed.servers a1 ""
store "expire?topic=keyed.servers"
store_mode ok
learned() { grep -q 'event=server server=x60 ' "$DIR/$1.log"; }
wait_for "all know the last one" all learned
gone() { grep -q 'event=server_gone server=a1' "$DIR/$1.log" || ! [ "$(ask "$1" GET /read/1 "g$RANDOM" | head -1)" = 200 ]; }
wait_for "none uses the one that left" all gone
echo "known by all, used by none"
