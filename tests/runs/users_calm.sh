# Normal operation on the users' platform: streams, non-idempotent and idempotent requests are served by two
# instances, invalid ones are rejected, no credential of a caller reaches a backend server, and a change of the
# configuration takes effect on both instances.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner e1 llm v1 --confidence 90
runner a1 app v1
entry n1
entry n2
wait_for "both ready" eval "ready n1 && ready n2"
echo "-- a stream, a non-idempotent request, an idempotent request"
stream n1 4 s1
ask n2 POST /order/7 o1 -d 'moquette' | head -2
ask n1 GET /read/9 g1 | head -2
echo "-- unknown key, unknown route, no request id, a body over the limit"
KEY=other ask n1 GET /read/9 g2 | head -1
ask n1 GET /none/9 g3 | head -1
ask n1 GET /read/9 "" | head -1
head -c 70000 /dev/zero | ask n1 POST /order/7 o2 --data-binary @- | head -1
echo "-- what the backend servers received"
runs e1
runs a1
echo "-- a key is removed and a route is added"
config 2 k2 ',{"name":"new","host":"h","path_prefix":"/new/","route_kind":"idempotent","timeout_ms":2000,"service":"app","max_attempts":1,"public":true}'
wait_for "the configuration is in force" eval "has_config n1 2 && has_config n2 2"
for n in n1 n2; do ask $n GET /read/9 x$n | head -1; ask $n GET /new/1 y$n | head -1; done
echo "-- an older configuration is ignored"
config 1 k1
config 3 k3
wait_for "the configuration is in force" eval "has_config n1 3 && has_config n2 3"
KEY=k3 ask n1 GET /read/9 z1 | head -1
KEY=k1 ask n2 GET /read/9 z2 | head -1
