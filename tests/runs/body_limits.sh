# Guards against a caller that gets no answer to a body over max_body_bytes: it waits for 100 Continue, sends the
# body in chunks, or reads only after it has sent everything. Each must get 413 and a connection closed in order.
. tests/lib.sh
LIMIT=65536
start_platform
engine r1 d1 --versions m/1
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d1
instance e1 "\"max_body_bytes\": $LIMIT,"
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=localhost -addext subjectAltName=IP:127.0.0.1 \
	-keyout "$DIR/key.pem" -out "$DIR/cert.pem" 2>/dev/null
instance e2 "\"max_body_bytes\": $LIMIT, \"tls_cert\": \"$DIR/cert.pem\", \"tls_key\": \"$DIR/key.pem\","
head -c 4000000 /dev/zero >"$DIR/large"
printf '{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"%s"}]}' "$(head -c 60000 /dev/zero | tr '\0' x)" >"$DIR/small"
ask() { # URL FILE ARGS...: prints the status, and curl's exit code unless 0
	local url=$1 file=$2
	shift 2
	curl -s -m 20 --cacert "$DIR/cert.pem" -o "$DIR/answer" -w '%{http_code}\n' -H "Authorization: Bearer $KEY" "$@" \
		--data-binary "@$file" "$url/v1/chat/completions" || echo "curl: $?"
}
head_of() { printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n' "$KEY" "$1"; }
open_raw() { exec 5<>"/dev/tcp/${ADDR_e1/:/\/}"; }
read_status() { timeout 5 head -n 1 <&5 | tr -d '\r'; }
read_end() { timeout 5 cat <&5 >/dev/null && echo "closed in order" || echo "not closed in order"; }
for url in "http://$ADDR_e1" "https://$ADDR_e2"; do
	echo "== ${url%%:*}"
	echo "a body within the limit: $(ask "$url" "$DIR/small")"
	echo "the same in chunks: $(ask "$url" "$DIR/small" -H 'Transfer-Encoding: chunked')"
	echo "a length over the limit, waiting for 100 Continue: $(ask "$url" "$DIR/large" -H 'Expect: 100-continue')"
	echo "a length over the limit, the body sent at once: $(ask "$url" "$DIR/large" -H 'Expect:')"
	echo "chunks past the limit: $(ask "$url" "$DIR/large" -H 'Transfer-Encoding: chunked' -H 'Expect:')"
	grep -o '"message":"[^"]*"' "$DIR/answer"
done
echo "== a caller that waits for 100 Continue"
open_raw
head_of $'Expect: 100-continue\r\nContent-Length: 4000000' >&5
read_status
read_end
echo "== a caller that reads only after it has sent its body"
open_raw
{ head_of 'Content-Length: 4000000'; cat "$DIR/large"; } >&5
read_status
read_end
echo "== a caller that goes on sending chunks past the limit, and reads then"
open_raw
{
	head_of 'Transfer-Encoding: chunked'
	for i in $(seq 20); do printf '10000\r\n'; head -c 65536 /dev/zero; printf '\r\n'; done
} >&5
read_status
read_end
echo "== others are served"
ask "http://$ADDR_e1" "$DIR/small"
