# Guards against API keys that cross the network in plain text, and against an instance that starts with an
# invalid certificate. An instance with a certificate and key is called over TLS, then by plain HTTP; others
# are started with an invalid and with a missing certificate. libmicrohttpd provides TLS for callers;
# the two files named in the settings must be readable and match.
. tests/lib.sh
openssl req -x509 -newkey rsa:2048 -nodes -keyout "$DIR/key.pem" -out "$DIR/cert.pem" -days 2 -subj /CN=localhost \
	-addext subjectAltName=IP:127.0.0.1 >/dev/null 2>&1 || fail "no certificate could be made"
start_platform
engine r1 d1 --versions m/1
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d1
instance e1 "\"tls_cert\": \"$DIR/cert.pem\", \"tls_key\": \"$DIR/key.pem\","
echo "over TLS: $(curl -s -m 10 --cacert "$DIR/cert.pem" "https://$ADDR_e1/v1/chat/completions" -o "$DIR/answer" -w '%{http_code}' -H "Authorization: Bearer $KEY" -d '{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}'), end markers: $(grep -c DONE "$DIR/answer")"
curl -s -m 5 "http://$ADDR_e1/v1/models" -H "Authorization: Bearer $KEY" >/dev/null
echo "plain HTTP: refused $([ $? -ne 0 ] && echo yes)"
write_settings e2 "\"tls_cert\": \"$DIR/e1.json\", \"tls_key\": \"$DIR/key.pem\","
"$BUILD/corianderwalk" --settings "$DIR/e2.json" >"$DIR/e2.log" 2>&1; echo "an invalid certificate: exit $?"
write_settings e2 "\"tls_cert\": \"$DIR/missing.pem\", \"tls_key\": \"$DIR/key.pem\","
"$BUILD/corianderwalk" --settings "$DIR/e2.json" >"$DIR/e2.log" 2>&1; echo "a missing certificate: exit $?"
