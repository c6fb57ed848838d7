# Symptom: callers' keys went over the network in the clear, or a bad certificate let an instance start.
# Sequence: an instance with a certificate and key is called over TLS, then plainly; one is started
# with a certificate that is none.
# Cause: TLS for callers is ulfius's; the settings name two files that must both be readable and fit.
. tests/lib.sh
openssl req -x509 -newkey rsa:2048 -nodes -keyout "$DIR/key.pem" -out "$DIR/cert.pem" -days 2 -subj /CN=localhost \
	-addext subjectAltName=IP:127.0.0.1 >/dev/null 2>&1 || fail "no certificate could be made"
start_platform
engine r1 d1 --versions m/1
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d1
instance e1 "\"tls_cert\": \"$DIR/cert.pem\", \"tls_key\": \"$DIR/key.pem\","
echo "over TLS: $(curl -s -m 10 --cacert "$DIR/cert.pem" "https://$ADDR_e1/v1/chat/completions" -o "$DIR/answer" -w '%{http_code}' -H "Authorization: Bearer $KEY" -d '{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}'), an end: $(grep -c DONE "$DIR/answer")"
curl -s -m 5 "http://$ADDR_e1/v1/models" -H "Authorization: Bearer $KEY" >/dev/null
echo "plainly: refused $([ $? -ne 0 ] && echo yes)"
settings e2 "\"tls_cert\": \"$DIR/e1.json\", \"tls_key\": \"$DIR/key.pem\","
"$BUILD/corianderwalk" --settings "$DIR/e2.json" >"$DIR/e2.log" 2>&1; echo "a certificate that is none: exit $?"
settings e2 "\"tls_cert\": \"$DIR/missing.pem\", \"tls_key\": \"$DIR/key.pem\","
"$BUILD/corianderwalk" --settings "$DIR/e2.json" >"$DIR/e2.log" 2>&1; echo "a certificate that is missing: exit $?"
