# A caller that reads 50 bytes of a long stream and closes the connection: the engine must be told to stop, or
# its slot stays busy with an answer that is never read.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --token-ms 50 --tokens 2000
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1
instance e1
running_requests() { curl -s "http://$ADDR_r1/load" | grep -o '"running":[0-9]*'; }
curl -s -N -H "Authorization: Bearer $KEY" -H 'Content-Type: application/json' \
	-d '{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}' \
	"http://$ADDR_e1/v1/chat/completions" | head -c 50 | head -n 1
is_idle() { [ "$(running_requests)" = '"running":0' ]; }
WAIT_S=5 wait_for "the engine stops" is_idle
echo "stopped"
