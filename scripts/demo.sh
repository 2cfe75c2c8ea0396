#!/usr/bin/env bash
# Runs the four services of the co-operative on loopback: a platform stand-in and
# 16 backend servers in four availability zones, each with a node.
# Sends requests of each class and exits non-zero if a check fails.
# With --keep everything keeps running for manual tests.
# DEMO_PORT is the first of the 81 ports used.
set -euo pipefail
cd "$(dirname "$0")/.."

port=${DEMO_PORT:-31000}
keep=${1:-}
work=$(mktemp -d)
pids=()
faults=0
export LAGOONBARROW_TOKEN=demo-change-token-0001
residents_key=demo-residents-key
dairies_key=demo-dairies-key

finish() {
  status=$?
  if [ "$keep" = --keep ] && [ "$status" -eq 0 ]; then
    exit 0
  fi
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    echo "demo failed; last log lines:"
    tail -n 3 "$work"/*.log 2>/dev/null || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT

fail() { echo "FAIL: $*"; faults=$((faults + 1)); }
pass() { echo "ok: $*"; }

start() { # name, command...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  last=$!
}

node_settings() { # service zone entry slots connections
  cat <<INI
[instance]
id = $1-$2
service = $1
zone = zone-$2
region = north
[listen]
entry-address = 127.0.0.1:$3
local-address = 127.0.0.1:$(($3 + 1))
peer-address = 127.0.0.1:$(($3 + 2))
admin-address = 127.0.0.1:$(($3 + 3))
[backend]
address = 127.0.0.1:$(($3 + 4))
health-path = /health
slots = $4
connections = $5
[platform]
address = 127.0.0.1:$port
[security]
peer-key = demo-peer-key-000001
read-token = demo-read-token-00001
change-token = $LAGOONBARROW_TOKEN
INI
}

# wait_for SECONDS COMMAND... retries a command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then return 1; fi
    sleep 0.1
  done
}

# request METHOD PATH KEY [CURL ARGUMENTS...] prints the status and writes the body
# to $work/body.
request() {
  local method=$1 path=$2 key=$3
  shift 3
  curl -sS -m 10 -o "$work/body" -w '%{http_code}' -X "$method" -H "Authorization: Bearer $key" "$@" "http://127.0.0.1:$entry$path"
}

ready() { curl -sf -m 2 "http://127.0.0.1:$1/readyz"; }

# runs PREFIX prints the number of runs that the backend servers recorded for paths
# that start with PREFIX.
runs() {
  local total=0 count address
  for address in "${backends[@]}"; do
    count=$(curl -sf -m 5 "http://$address/runs" | grep -o "\"path\":\"$1" | wc -l)
    total=$((total + count))
  done
  echo "$total"
}

echo "starting the platform stand-in and 16 backend servers, each with its node"
start platform build/lagoonbarrow-standin platform --address "127.0.0.1:$port"
backends=()
admins=()
declare -A node_pid
base=$((port + 1))
for spec in minutes:70:500:resolutions resolutions:70:500:members members:70:500:registry registry:15:200:; do
  IFS=: read -r service slots connections downstream <<<"$spec"
  for zone in a b c d; do
    [ "$service-$zone" = minutes-a ] && entry=$base
    node_settings "$service" "$zone" "$base" "$slots" "$connections" >"$work/$service-$zone.ini"
    build/lagoonbarrow check-settings "$work/$service-$zone.ini" >/dev/null
    start "backend-$service-$zone" build/lagoonbarrow-standin backend --address "127.0.0.1:$((base + 4))" \
      --service "$service" --node "127.0.0.1:$((base + 1))" --slots "$slots" --downstream "$downstream"
    start "node-$service-$zone" build/lagoonbarrow node --settings "$work/$service-$zone.ini"
    node_pid[$service-$zone]=$last
    backends+=("127.0.0.1:$((base + 4))")
    admins+=("$((base + 3))")
    base=$((base + 5))
  done
done
export LAGOONBARROW_ADMIN=127.0.0.1:${admins[0]}
for admin in "${admins[@]}"; do
  wait_for 30 ready "$admin" || { fail "a node did not become ready"; exit 1; }
done
# A node that does not list the next service yet would refuse the first calls.
lists_all() {
  [ "$(curl -sf -m 2 -H "Authorization: Bearer $LAGOONBARROW_TOKEN" "http://127.0.0.1:$1/v1/members" | grep -o '"state":"ready"' | wc -l)" -eq 16 ]
}
for admin in "${admins[@]}"; do
  wait_for 30 lists_all "$admin" || fail "a node does not list all 16 instances"
done
pass "16 nodes are ready"

for customer in residents dairies; do
  key_name=${customer}_key
  hash=$(printf %s "${!key_name}" | build/lagoonbarrow hash-key)
  sed "s/KEY-HASH/$hash/" "scripts/demo/$customer.json" >"$work/$customer.json"
  build/lagoonbarrow contract apply --wait 7s "$work/$customer.json" || fail "contract of $customer is not in force everywhere within 7 s"
done

expect() { # description wanted got
  if [ "$2" = "$3" ]; then pass "$1: $3"; else fail "$1: got $3, want $2: $(head -c 300 "$work/body")"; fi
}
expect "browsing minutes" 200 "$(request GET /minutes/2026-11 $residents_key)"
grep -q /minutes/2026-11 "$work/body" || fail "the answer is not the request's own"
expect "looking up a resolution" 200 "$(request GET /resolutions/17 $residents_key)"
expect "reading an archive" 200 "$(request GET /archive/2025 $residents_key)"
expect "filing a resolution" 200 "$(request POST /resolutions $residents_key -H 'Idempotency-Key: resolution-18' -d signed)"
cp "$work/body" "$work/first"
expect "filing the same resolution again" 200 "$(request POST /resolutions $residents_key -H 'Idempotency-Key: resolution-18' -d signed)"
cmp -s "$work/first" "$work/body" || fail "the repeated filing got another answer"
expect "runs of the filing at the entry service" 1 "$(curl -sf "http://${backends[0]}/runs" "http://${backends[1]}/runs" "http://${backends[2]}/runs" "http://${backends[3]}/runs" | grep -o '"path":"/resolutions"' | wc -l)"
expect "the same key for another resolution" 422 "$(request POST /resolutions $residents_key -H 'Idempotency-Key: resolution-18' -d other)"
expect "a filing without a key" 400 "$(request POST /resolutions $residents_key -d signed)"
expect "fetching results" 200 "$(request GET /results/lab-4 $dairies_key)"
expect "bonus figures" 200 "$(request GET /bonus/4 $dairies_key)"
expect "issuing a payment order" 200 "$(request POST /payment-orders $dairies_key -H 'Idempotency-Key: order-9' -d pay)"
expect "an unknown credential" 401 "$(request GET /minutes/1 wrong)"
expect "a path outside the contract" 403 "$(request GET /elsewhere $dairies_key)"
served=$(runs "")
[ "$served" -ge 28 ] && pass "runs at all four services: $served" || fail "only $served runs at four services"

sed -i 's/"work-units-per-second": 2000/"work-units-per-second": 2500/' "$work/residents.json"
build/lagoonbarrow contract apply --wait 7s "$work/residents.json" || fail "the change is not in force everywhere within 7 s"
build/lagoonbarrow contract list

echo "stopping one node gracefully under load"
for i in $(seq 1 60); do request GET "/minutes/$i" $residents_key; echo; done >"$work/statuses" &
load=$!
sleep 0.3
kill -TERM "${node_pid[resolutions-b]}"
wait $load
expect "calls that failed during the stop" 0 "$(grep -vc '^200$' "$work/statuses" || true)"
gone() { ! kill -0 "${node_pid[resolutions-b]}" 2>/dev/null; }
wait_for 20 gone && pass "the node stopped" || fail "the node did not stop"
# The process id may be reused from now on, so finish must not kill it.
for index in "${!pids[@]}"; do
  if [ "${pids[$index]}" = "${node_pid[resolutions-b]}" ]; then unset "pids[$index]"; fi
done

build/lagoonbarrow status
echo "timeline of the processes (first and last lines):"
build/lagoonbarrow timeline --process >"$work/timeline"
head -n 12 "$work/timeline"
echo "..."
tail -n 6 "$work/timeline"
grep -q contract-in-force "$work/timeline" || fail "the timeline shows no contract coming into force"
build/lagoonbarrow timeline --html "$work/timeline.html"

if [ "$keep" = --keep ]; then
  echo
  echo "still running; stop it with: kill ${pids[*]}"
  echo "export LAGOONBARROW_ADMIN=$LAGOONBARROW_ADMIN LAGOONBARROW_TOKEN=$LAGOONBARROW_TOKEN"
  echo "curl -i -H 'Authorization: Bearer $residents_key' http://127.0.0.1:$entry/minutes/2026-11"
  echo "curl -i -H 'Authorization: Bearer $residents_key' -H 'Idempotency-Key: resolution-19' -d signed http://127.0.0.1:$entry/resolutions"
fi
echo "demo: $faults faults"
[ "$faults" -eq 0 ]
