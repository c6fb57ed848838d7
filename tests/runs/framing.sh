# Requests with fields or framing that another reader may understand differently, at the own interface, as a whole and in
# pieces of one byte. Guards against an organisation, a key or a second request that the router has not seen.
. tests/lib.sh
trap '' PIPE # an instance that has rejected a request may close before the last byte
start_one_engine
BODY='{"model":"m","messages":[{"role":"user","content":"hi"}]}'
LENGTH=${#BODY}
HEX=$(printf %x "$LENGTH")
# status BYTES PIECES: the status of the answer, or "closed".
status() {
	local line
	exec 5<>"/dev/tcp/${ADDR_e1/:/\/}"
	if [ "$2" = whole ]; then
		# One write: bash writes line by line, and may be ended by SIGPIPE before it reads the answer.
		printf "$1" | dd bs=64k iflag=fullblock status=none >&5
	else
		printf "$1" | while IFS= read -r -N 1 -d '' byte; do printf '%s' "$byte"; done >&5 2>/dev/null
	fi
	line=$(timeout 3 head -n 1 <&5 2>/dev/null | tr -d '\r' | cut -d ' ' -f 2)
	exec 5>&-
	echo "${line:-closed}"
}
row() { # NAME FIELDS BODY, as formats of printf
	local head="POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer $KEY\r\n"
	echo "$1: $(status "$head$2\r\n$3" whole) $(status "$head$2\r\n$3" bytes)"
}
row "length" "Content-Length: $LENGTH\r\n" "$BODY"
row "chunks" "Transfer-Encoding: chunked\r\n" "$HEX\r\n$BODY\r\n0\r\n\r\n"
row "space after a field name" "Tenant : x\r\nContent-Length: $LENGTH\r\n" "$BODY"
row "space after Transfer-Encoding" "Transfer-Encoding : chunked\r\n" "$HEX\r\n$BODY\r\n0\r\n\r\n"
row "space after Content-Length" "Content-Length : $LENGTH\r\n" "$BODY"
row "space before a field" " Tenant: x\r\nContent-Length: $LENGTH\r\n" "$BODY"
row "no colon" "Tenant\r\nContent-Length: $LENGTH\r\n" "$BODY"
row "two lengths" "Content-Length: $LENGTH\r\nContent-Length: $LENGTH\r\n" "$BODY"
row "two differing lengths" "Content-Length: $LENGTH\r\nContent-Length: 3\r\n" "$BODY"
row "length with a plus sign" "Content-Length: +$LENGTH\r\n" "$BODY"
row "length and chunks" "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" "$HEX\r\n$BODY\r\n0\r\n\r\n"
row "chunked is not last" "Transfer-Encoding: chunked, gzip\r\n" "$HEX\r\n$BODY\r\n0\r\n\r\n"
row "chunk size that overflows" "Transfer-Encoding: chunked\r\n" "100000000000000$HEX\r\n$BODY\r\n0\r\n\r\n"
row "folded length" "Content-Length: 1\r\n 0\r\n" "$BODY"
