# Shared by the cases: starts the store and the entry instances, and ends them. A case's run.sh sets CASE to its
# folder and sources this file; it then calls start_store, start_entry NAME for each instance, and run_case.
# TROUBLE=0 runs the case without its disruption.
set -u
ROOT=$(cd "$CASE/../.." && pwd)
TOOLS=$ROOT/target/review
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
RECORD=$CASE/record.txt
PIDS=""
NET=127.77.$((RANDOM % 200 + 1))
NEXT_HOST=2
ZONES='"z1":"r","z2":"r"'
trap end_all EXIT

end_all() {
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$DIR"
}

cannot_run() {
	echo "cannot run: $*" | tee -a "$RECORD"
	exit 2
}

[ -x "$ROOT/target/corianderwalk" ] || { echo "build the deploy file's build line first"; exit 2; }
[ -x "$TOOLS/store" ] || { echo "run review/build.sh first"; exit 2; }
echo "case $(basename "$CASE") trouble=$TROUBLE" >"$RECORD"
PORTS=$("$TOOLS/free-ports" 5) || cannot_run "no free ports"
set -- $PORTS
P_STORE=$1 P_FRONT=$2 P_READY=$3 P_CONTROL=$4 P_PEER=$5
STORE=127.0.0.1:$P_STORE

start_store() {
	"$TOOLS/store" --listen "$STORE" >"$DIR/store.log" 2>&1 &
	PIDS="$PIDS $!"
	for _ in $(seq 100); do
		grep -q '^listening' "$DIR/store.log" && return
		sleep 0.05
	done
	cannot_run "the store does not listen"
}

# start_entry NAME ZONE: starts an instance at its own loopback address by the deploy file's command; sets HOST_NAME
# and PID_NAME. MEMORY_MB: its machine's memory.
start_entry() {
	local name=$1 host=$NET.$NEXT_HOST
	NEXT_HOST=$((NEXT_HOST + 1))
	SEED=${SEED:-$host}
	cat >"$DIR/$name.json" <<-SETTINGS
		{"node_name":"$name","role":"entry","machine_class":"edge","serves":["edge","control"],"ip":"$host",
		"zone":"$2","region":"r","zones":{$ZONES},
		"listen":{"frontend":"$host:$P_FRONT","ready":"$host:$P_READY","control_plane":"$host:$P_CONTROL"},
		"port_range":[$P_PEER,$P_PEER],"seed_nodes":["$SEED:$P_CONTROL"],"is_bootstrap":true,"in_tolerance":false,
		"limits":{"cpu_share":0.25,"cpu_cores":1,"memory_mb":${MEMORY_MB:-260},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
		"data_dir":null,"discovery":"platform","entry_kind":"vip","heartbeat_ms":1200,
		"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"],
		"fault_tolerance":{"machines":2,"zones":1,"regions":0},
		"bounds":{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
		"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"revert_slack_ms":250,"outer_bound_ms":5000,
		"strict_revocation":false,"revoke_ms":5000,"retry_budget_ratio":0.9,"budget_window_s":10,
		"retry_budget_slack":52,"exposure_share":0.15,"exposure_slack":30,"rollback_ms":5000,"recover_s":12,
		"pass_ms":120,"reuse_window_s":10,"session_s":5},
		"platform":{"address":"$STORE","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":8,"append_ms":4.0,
		"part_mb_per_s":20.0,"read_mb_per_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,
		"part_mb":200,"ttl_min_ms":1000}}
	SETTINGS
	(cd "$ROOT" && CORIANDERWALK_CONFIG="$DIR/$name.json" exec target/corianderwalk --platform --metrics-port 9464) \
		>"$DIR/$name.log" 2>&1 &
	PIDS="$PIDS $!"
	eval "HOST_$name=$host PID_$name=$!"
}

# run_case ARGUMENTS...: runs the case's program, and ends with its exit code. LOGS=FOLDER keeps the logs.
run_case() {
	timeout 110 "$TOOLS/case-$(basename "$CASE")" "$RECORD" "$TROUBLE" "$STORE" "$@"
	local code=$?
	[ -z "${LOGS:-}" ] || cp "$DIR"/*.log "$LOGS"
	[ $code -le 2 ] || cannot_run "the case's program ended with $code"
	tail -n 3 "$RECORD"
	exit $code
}
