# Guards against an instance that runs with a mistyped setting, as happened when settings were read key by key
# when needed. Settings files with an unknown key, a wrong type, a bad address and other faults are checked and
# started: the whole file must be validated before anything starts, and all faults printed.
. tests/lib.sh
exec 2>&1
cat >"$DIR/bad.json" <<'END'
{
	// comments are welcome
	"instance": "e1",
	"failure_domain": "",
	"listen": "localhost:80",
	"operator_listen": "127.0.0.1:99999",
	/* of
	   several lines */
	"peer_listen": 8082,
	"peer_key": "abc",
	"plattform": "127.0.0.1:9000",
	"heartbeat_ms": "fast",
	"silent_ms": 1,
	"choice_policy": "best",
	"tls_cert": "cert.pem",
	"peers": [
		{ "instance": "e1", "failure_domain": "d", "address": "127.0.0.1:1" },
		{ "instance": "e2", "adress": "127.0.0.1:1" }
	],
	"backend_servers": { },
	"heartbeat_ms": 20
}
END
printf '{\n "instance": "e1",\n "peers": [ }\n' >"$DIR/broken.json"
cd "$DIR" || exit 1
"$BUILD/corianderwalk" --settings bad.json; echo "exit $?"
"$BUILD/cwctl" check broken.json; echo "exit $?"
"$BUILD/corianderwalk" --settings missing.json; echo "exit $?"
"$BUILD/corianderwalk"; echo "exit $?"
"$BUILD/corianderwalk" --frobnicate; echo "exit $?"
"$BUILD/cwctl" table frobnicate; echo "exit $?"
"$BUILD/cwctl" status; echo "exit $?"
"$BUILD/cwctl" --operators 127.0.0.1:1 status; echo "exit $?"
"$BUILD/cwctl" --platform 127.0.0.1:1 bills; echo "exit $?"
echo '{"noise_ms": -1, "quiet_ms": "long", "noise": 3}' >bad_policy.json
"$BUILD/corianderwalk" --platform --policy bad_policy.json; echo "exit $?"
echo '{"noise_ms": 9} // the rest is the default' >policy.json
"$BUILD/corianderwalk" --print-policy --policy policy.json | grep -A1 -B1 '"noise_ms"'
"$BUILD/corianderwalk" --version; echo "exit $?"
"$BUILD/corianderwalk" --help | head -n 2
"$BUILD/cwctl" --help | head -n 3
