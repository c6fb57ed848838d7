# Some instances are partitioned from all backend servers, while callers, peers and the store still reach them. Symptom
# this prevents: their callers are rejected for as long as the partition lasts, while the other instances serve.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_fatal.sh
. tests/lib_cut.sh
store_start
config 1 k1
runner e1 llm v1 --confidence 90
runner e2 llm v1 --confidence 90
runner a1 app v1
runner a2 app v1
ALL="n1 n2 n3 n4 n5"
for n in n1 n2 n3; do ZONE=z1 entry $n; done
for n in n4 n5; do ZONE=z2 entry $n; done
wait_for "all ready" on_all ready
wait_for "all know each other" on_all knows_peers 4
# Callers press all the while; the partition's own ones come when it has begun.
partition() { # MODE CALLERS NAME...
	local mode=$1 callers=$2 began ended name others=""
	shift 2
	for name in $ALL; do case " $* " in *" $name "*) ;; *) others="$others $name" ;; esac; done
	began=$(uptime_ms)
	set_links "$mode" "$@"
	press_begin 5 "$callers"
	sleep 5
	ended=$(uptime_ms)
	sleep 1
	judge_served "partitioned" $(served $((began + CUT_CONTACT_MS)) $((ended - 500)) "$@")
	judge_served "others" $(served "$began" $((ended - 500)) $others)
	set_links none "$@"
	wait_for "served directly again" serve_directly "$@"
}
serve_directly() { # NAME...: each answers a request of each service
	local name
	for name in "$@"; do
		ask $name GET /read/1 "d$RANDOM$name" | head -n 1 | grep -q 200 || return 1
		stream $name 2 "s$RANDOM$name" | grep -q 'id: 2 ' || return 1
	done
}
press_begin 33 12
echo "-- two of five instances: connections hang"
partition hang 30 n1 n2
echo "-- two of five instances: connections are reset, new ones are refused"
partition reset 30 n1 n2
echo "-- two of five instances: connections live on, new ones are refused"
partition refuse 80 n1 n2
echo "-- all instances of a failure domain: connections hang"
partition hang 30 n1 n2 n3
echo "-- all instances: connections hang"
began=$(uptime_ms)
set_links hang $ALL
sleep 5
judge_rejected $((began + CUT_CONTACT_MS)) "$(uptime_ms)"
set_links none $ALL
wait_for "served directly again" serve_directly $ALL
press_end
check_guarantees
