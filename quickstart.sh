#!/usr/bin/env bash
# Builds mimosabay and runs a complete site on loopback: platform, weight store, three engines, a
# plain service and seven instances in three availability zones, each in a separate process.
# Writes sample resources, sends requests as a caller, prints the answers and the status, and stops
# all processes that it started.
set -euo pipefail
cd "$(dirname "$0")"

INSTANCES=7
ZONES=3
PROFILE=${PROFILE:-debug}
# Timeout of one step, such as waiting for an instance to become ready.
STEP_TIMEOUT_S=20
FIRST_PORT=20000
PORTS=12000

usage() {
  cat <<'TEXT'
Usage: ./quickstart.sh [--keep] [--json]
  --keep  leave everything running and print the addresses
  --json  print nothing but one summary line
PROFILE=release builds and runs the optimised programs.
TEXT
}

keep=false
json=false
for argument in "$@"; do
  case $argument in
    --keep) keep=true ;;
    --json) json=true ;;
    --help | -h) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done

folder=$(mktemp -d "${TMPDIR:-/tmp}/mimosabay.XXXXXX")
pids=()

say() {
  if ! $json; then
    echo "$*"
  fi
}

fail() {
  echo "quickstart: $*" >&2
  echo "quickstart: logs are in $folder" >&2
  keep_folder=true
  exit 1
}

end_processes() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}

keep_folder=false
finish() {
  local status=$?
  if $keep && [ "$status" -eq 0 ]; then
    return
  fi
  end_processes
  if ! $keep_folder; then
    rm -rf "$folder"
  fi
}
trap finish EXIT

now_ms() {
  date +%s%3N
}

# Starts a program in the background and writes its output to the log file of the given name.
start() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=("$!")
}

# Waits until a command succeeds; fails after STEP_TIMEOUT_S.
wait_until() {
  local what=$1 end=$((SECONDS + STEP_TIMEOUT_S))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "$what: not within $STEP_TIMEOUT_S s"
    sleep 0.05
  done
}

# Starts a stand-in on a free port and sets `address` to its address.
start_standin() {
  local name=$1 program=$2
  shift 2
  start "$name" "$bin/mimosabay-standin-$program" "$@"
  wait_until "start of $name" grep -q '"address"' "$folder/$name.log"
  address=$(sed -n 's/.*"address":"\([^"]*\)".*/\1/p' "$folder/$name.log")
}

is_used() {
  (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Sets `port` to the next free port.
port=$((FIRST_PORT + RANDOM % PORTS))
next_port() {
  port=$((port + 1))
  while is_used "$port"; do
    port=$((port + 1))
  done
}

write_settings() {
  local name=$1 zone=$2 callers=$3 peers=$4
  cat >"$folder/$name.ini" <<TEXT
[instance]
name = $name
zone = $zone
caller_address = $callers
peer_address = $peers

[platform]
address = $platform

[peers]
secret = quickstart on loopback only

[stop]
balancer_lag_ms = 200
TEXT
}

start_instance() {
  local name=$1 zone=$2 callers peers
  next_port
  callers=127.0.0.1:$port
  next_port
  peers=127.0.0.1:$port
  write_settings "$name" "$zone" "$callers" "$peers"
  start "$name" "$bin/mimosabayd" "$folder/$name.ini"
  addresses+=("$callers")
  curl -sf -X PUT "http://$platform/control/instances/$name" -o /dev/null -d "{
    \"name\": \"$name\", \"zone\": \"$zone\", \"state\": \"live\",
    \"caller_address\": \"$callers\", \"peer_address\": \"$peers\"}"
}

operator() {
  "$bin/mimosabay" --platform "$platform" --as quickstart "$@"
}

is_ready() {
  curl -sf -m 2 "http://$1/readyz"
}

# Sends a request with the sample key to an instance.
# Arguments: index of the instance, path, further arguments of curl.
call() {
  local address=${addresses[$1]} path=$2
  shift 2
  curl -sS -m "$STEP_TIMEOUT_S" -H "authorization: Bearer $key" \
    -H 'content-type: application/json' "http://$address$path" "$@"
}

completion() {
  echo "{\"model\": \"$1\", \"prompt\": \"soap and mops\", \"max_tokens\": 8, \"stream\": $2}"
}

is_served() {
  [ "$(call "$1" /v1/completions -o /dev/null -w '%{http_code}' \
    -d "$(completion tender false)")" = 200 ] &&
    [ "$(call "$1" /orders/stock -o /dev/null -w '%{http_code}')" = 200 ]
}

say "building (PROFILE=$PROFILE)"
build=(cargo build --quiet --workspace --bins)
if [ "$PROFILE" = release ]; then
  build+=(--release)
fi
"${build[@]}"
bin=${CARGO_TARGET_DIR:-target}/$PROFILE

started_ms=$(now_ms)
say "starting platform, weight store, 3 engines and a plain service"
start_standin platform platform --list-lag-ms 200
platform=$address
start_standin weights weights
weights=$address
cp examples/backend-servers.json "$folder/backend-servers.json"
for number in 1 2 3; do
  fencing=()
  if [ "$number" = 3 ]; then
    fencing=(--ignore-fencing)
  fi
  start_standin "engine-$number" engine --weight-store "$weights" "${fencing[@]}"
  sed -i "s/127.0.0.1:810$number/$address/" "$folder/backend-servers.json"
done
start_standin desk-1 plain
desk=$address
sed -i "s/127.0.0.1:8201/$desk/" "$folder/backend-servers.json"

say "starting $INSTANCES instances in $ZONES availability zones"
addresses=()
for ((number = 1; number <= INSTANCES; number++)); do
  start_instance "instance-$number" "zone-$(((number - 1) % ZONES + 1))"
done
for address in "${addresses[@]}"; do
  wait_until "readiness of $address" is_ready "$address"
done

say "writing the sample resources"
operator apply -f examples/resources.json -f "$folder/backend-servers.json" >"$folder/apply.log" ||
  fail "apply: $(cat "$folder/apply.log")"
say "$(cat "$folder/apply.log")"
operator key create clinics front-desk >"$folder/key.log" || fail "key create"
key=$(grep -o 'mb_[0-9a-f]*' "$folder/key.log")
for ((index = 0; index < INSTANCES; index++)); do
  wait_until "the first answers of ${addresses[index]}" is_served "$index"
done
ready_ms=$(($(now_ms) - started_ms))

say
say "a streamed completion on tender@1 through instance-1:"
call 0 /v1/completions -N -d "$(completion tender@1 true)" >"$folder/streamed"
say "$(grep -v '^$' "$folder/streamed")"
tokens=$(grep -c '"finish_reason":null' "$folder/streamed" || true)
grep -q '^data: \[DONE\]' "$folder/streamed" || fail "the stream is not whole"

say
say "a completion on the route drafting through instance-4:"
call 3 /v1/completions -d "$(completion drafting false)" >"$folder/whole"
say "$(cat "$folder/whole")"

say
say "a booking through instance-2, and its repeat through instance-5:"
for index in 1 4; do
  call "$index" /orders/book -H 'idempotency-key: order-1' \
    -d '{"item": "soap", "count": 40}' >"$folder/booked-$index"
  say "$(cat "$folder/booked-$index")"
done
bookings=$(curl -s "http://$desk/control/record" | grep -o '"bookings":.*' |
  grep -o '"request_id"' | wc -l)
say "bookings made: $bookings"

say
operator status >"$folder/status" || fail "status: $(cat "$folder/status")"
say "$(cat "$folder/status")"

ok=false
if [ "$tokens" = 8 ] && [ "$bookings" = 1 ]; then
  ok=true
fi
total_ms=$(($(now_ms) - started_ms))
if $json; then
  echo "{\"ok\": $ok, \"instances\": $INSTANCES, \"zones\": $ZONES," \
    "\"streamed_tokens\": $tokens, \"bookings\": $bookings," \
    "\"ready_ms\": $ready_ms, \"total_ms\": $total_ms}"
else
  say "ready after $ready_ms ms, done after $total_ms ms"
fi
$ok || fail "not as expected: $tokens streamed tokens of 8, $bookings bookings of 1"
if $keep; then
  echo "platform $platform, key $key, instances ${addresses[*]}" >&2
  echo "to end it: kill ${pids[*]}; rm -r $folder" >&2
fi
