# Guards against a version that changes in the middle of a conversation, as happened when the version
# depended on the table alone. Sessions begin, the weights are reversed and the sessions continue: on another
# instance with their token, on another without it, and after the instance they began on was killed. The
# session token carries the binding, and the session's home instances store it.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1,m/2,m/3 --slots 32
engine r2 d2 --versions m/1,m/2,m/3 --slots 32
publish "a,m,1,100,,,,1,,allowed" "a,m,2,100,,,,1,,allowed" "a,m,3,0,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3
FAST='"silent_ms": 600, "heartbeat_ms": 100, "session_ask_ms": 5000,'
instance e1 "$FAST"; instance e2 "$FAST"; instance e3 "$FAST"
has_live_peers() { [ "$(curl -s "http://$(operator_of "$1")/status" | grep -o '"state":"live"' | wc -l)" -eq "$2" ]; }
for i in e1 e2 e3; do wait_for "$i sees its peers" has_live_peers $i 2; done
N=40
chat_in_session() { # INSTANCE SESSION HEADER-FILE [curl options]: prints the version that answered
	local name=$1 session=$2 file=$3; shift 3
	chat "$name" "$KEY" m -H "X-Session-Id: s$session" -o /dev/null -D "$file" "$@"
	grep -i '^x-model-version' "$file" | tr -d '\r' | cut -d' ' -f 2
}
for i in $(seq $N); do chat_in_session e1 $i "$DIR/token-$i" >"$DIR/version-$i"; done
echo "versions at the start: $(cat "$DIR"/version-* | sort -u | xargs)"
count_kept() { # INSTANCE [token]: how many sessions the instance keeps on their version, with their token or without
	local n=0 i token
	for i in $(seq $N); do
		token=$(grep -i '^x-session-token' "$DIR/token-$i" | tr -d '\r')
		[ "$(chat_in_session "$1" $i "$DIR/head" ${2:+-H "$token"})" = "$(cat "$DIR/version-$i")" ] && n=$((n + 1))
	done
	echo "$n of $N"
}
cwctl table set a m 1 weight 0 >/dev/null; cwctl table set a m 2 weight 0 >/dev/null; cwctl table set a m 3 weight 100 >/dev/null
wait_for "in force" has_table_offset 5
echo "new sessions go to: $(chat_in_session e2 new "$DIR/head")"
echo "kept on e1: $(count_kept e1)"
echo "kept on e2, by the home instances: $(count_kept e2)"
echo "kept on e3, by the token: $(count_kept e3 token)"
stop_now e1
INSTANCES="e2 e3"
restart_e1() { INSTANCES="e1 e2 e3"; instance e1 "$FAST"; }
restart_e1
wait_for "e1 sees its peers again" has_live_peers e1 2
echo "kept on e1 after its restart, by the home instances: $(count_kept e1)"
echo "a forged token: $(chat_in_session e3 forged "$DIR/head" -H "X-Session-Token: 0000000000000001.1.m/1.$(printf '0%.0s' {1..64})")"
# The withdrawal of a version ends the bindings to it, on all instances alike and permanently.
cwctl table set a m 1 state withdrawn >/dev/null
cwctl table set a m 2 state withdrawn >/dev/null
wait_for "in force" has_table_offset 7
echo "withdrawn: $(for i in $(seq $N); do chat_in_session "e$((i % 3 + 1))" $i "$DIR/head"; done | sort | uniq -c | sed 's/^ *//')"
cwctl table set a m 1 state allowed >/dev/null
cwctl table set a m 1 weight 100 >/dev/null
wait_for "in force" has_table_offset 9
echo "allowed again, the sessions stay on their new version: $(for i in $(seq $N); do chat_in_session "e$((i % 3 + 1))" $i "$DIR/head"; done | sort | uniq -c | sed 's/^ *//')"
