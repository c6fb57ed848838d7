# Guards against malformed requests that crash an instance, are billed or get no clear answer, as happened
# when input was used before it was validated. Callers send each kind of invalid body, header and number:
# each must get an answer that names its fault, and none a bill.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,m,2,100,,,,1,,withdrawn" "a,service:orders,,,,,,,,allowed" "b,m,1,0,,,,1,,allowed"
KEY=$(cwctl organisation add a)
KEY_B=$(cwctl organisation add b)
plan e1:d1
instance e1 '"max_body_bytes": 4096, "idle_s": 2,'
URL=http://$(addr_of e1)
show() { local text; text=$(cat); echo "$1: $(tail -n 1 <<<"$text") $(json_field code <<<"$text") $(json_field run <<<"$text") $(json_field message <<<"$text")"; }
post() { local name=$1 body=$2; shift 2; curl -s -m 10 -w '\n%{http_code}\n' "$URL/v1/chat/completions" -H "Authorization: Bearer $KEY" "$@" -d "$body" | show "$name"; }
GOOD='{"model":"m","messages":[{"role":"user","content":"x"}]}'
post "not JSON" '{"model":'
post "malformed JSON" '{]'
post "empty" ''
post "a list" '[]'
post "no model" '{"messages":[{}]}'
post "model of another type" '{"model":7,"messages":[{}]}'
post "no messages" '{"model":"m"}'
post "messages of another type" '{"model":"m","messages":"x"}'
post "a message of another type" '{"model":"m","messages":["x"]}'
post "max_tokens too large" '{"model":"m","max_tokens":99999999999999999999,"messages":[{}]}'
post "max_tokens negative" '{"model":"m","max_tokens":-1,"messages":[{}]}'
post "max_tokens a fraction" '{"model":"m","max_tokens":1.5,"messages":[{}]}'
post "stream of another type" '{"model":"m","stream":"yes","messages":[{}]}'
post "model unknown" '{"model":"none","messages":[{}]}'
post "model too long" "{\"model\":\"$(printf 'x%.0s' {1..200})\",\"messages\":[{}]}"
post "request id with a slash" "$GOOD" -H 'X-Request-Id: a/../b'
post "request id too long" "$GOOD" -H "X-Request-Id: $(printf 'x%.0s' {1..200})"
post "deadline negative" "$GOOD" -H 'X-Deadline-Ms: -5'
post "deadline not a number" "$GOOD" -H 'X-Deadline-Ms: soon'
post "priority unknown" "$GOOD" -H 'X-Priority: urgent'
post "task with a space" "$GOOD" -H 'X-Task: a b'
post "body too large" "{\"model\":\"m\",\"messages\":[{\"content\":\"$(printf 'x%.0s' {1..5000})\"}]}"
KEY=wrong post "unknown key" "$GOOD"
curl -s -w '\n%{http_code}\n' "$URL/v1/chat/completions" -d "$GOOD" | show "no key"
KEY=$KEY_B post "no version with a weight" "$GOOD"
curl -s -w '\n%{http_code}\n' "$URL/services/unknown/x" -H "Authorization: Bearer $KEY" | show "unknown service"
curl -s -w '\n%{http_code}\n' "$URL/services/" -H "Authorization: Bearer $KEY" | show "no service"
curl -s -w '\n%{http_code}\n' "$URL/other" | show "unknown path"
curl -s -w '\n%{http_code}\n' "$URL/v1/chat/completions" -H "Authorization: Bearer $KEY" | show "GET"
# A half-open caller sends half a request and waits: the instance serves others and closes the connection
# after idle_s.
exec 3<>"/dev/tcp/127.0.0.1/${URL##*:}"
printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"mo' >&3
post "beside a half-open caller" "$GOOD"
timeout 20 cat <&3 >/dev/null && echo "the half-open caller was closed"
exec 3>&-
wait_for "the one good request is billed" has_bills 1
echo "runs: $(runs r1 | grep -o '"request"' | wc -l), bills: $(bill_count)"
kill -TERM "$PID_e1"; wait "$PID_e1"; echo "exit $?"
