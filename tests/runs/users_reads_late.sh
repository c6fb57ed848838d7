# Callers and servers that read nothing for some seconds and then go on. Guards against a connection that is taken for a dead
# one since its other side reads late.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1 ',{"name":"long","host":"h","path_prefix":"/long/","route_kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"public":false},{"name":"photo","host":"h","path_prefix":"/photo/","route_kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":300,"priority":2,"service":"photos","max_attempts":1,"public":false}'
endless long app long
endless late photos late
entry n1
wait_for "ready" ready n1
echo "-- callers that read nothing for 5 s once the head has come"
"$BUILD/tests/slow-callers" --to "$HOST_n1:$P_FRONT" --path /long/ --method POST --count 6 --rate 1000000 --pause-ms 5000
echo "-- a server that reads a long body 5 s late"
head -c 60000 /dev/zero | tr '\0' 'p' >"$DIR/photo"
ask n1 POST /photo/1 photo-1 --data-binary "@$DIR/photo" | head -n 1
echo "attempts: $(grep -c 'event=dispatch request=photo-1 ' "$DIR/n1.log")"
