# Starts and ends a small fleet on loopback: store, machine list, fabric, 18 back
# ends and three balancers. Sourced by scripts/demo; needs bin/ built.
# shellcheck shell=bash

bin=${bin:-bin}
work=${work:-$(mktemp -d)}
export GAUGEYARD_STORE=http://127.0.0.1:5990 GAUGEYARD_MACHINES=http://127.0.0.1:5991
return_address=127.0.0.1:5992
deliver_address=127.0.0.1:5993
zones=(hala-pipera hala-militari hala-vitan)
started=()

# start NAME COMMAND... runs a program in the background; its identifier is in pid_NAME.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  printf -v "pid_$name" '%s' "$!"
  started+=("$!")
}

# start_balancer NUMBER [FLAG...] starts balancer 1, 2 or 3.
start_balancer() {
  local number=$1
  shift
  start "balancer$number" "$bin/gaugeyard" balancer --zone "${zones[number - 1]}" \
    --data "127.0.0.1:$((5600 + number))" --peer "127.0.0.1:$((5610 + number))" --admin "127.0.0.1:$((5620 + number))" \
    --deliver "$deliver_address" --store "$GAUGEYARD_STORE" --machines "$GAUGEYARD_MACHINES" "$@"
}

# start_backend NAME PORT SERVICE... starts one back end.
start_backend() {
  local name=$1 port=$2
  shift 2
  local services=()
  for service in "$@"; do services+=(--service "127.0.0.1:$service"); done
  start "$name" "$bin/gaugeyard-standin" backend --address "127.0.0.1:$port" --report "127.0.0.1:$((port + 100))" \
    --return "$return_address" "${services[@]}"
}

start_fleet() {
  start store "$bin/gaugeyard-standin" store --listen "${GAUGEYARD_STORE#http://}"
  local list=()
  for number in 1 2 3; do
    list+=(--balancer "${zones[number - 1]},127.0.0.1:$((5600 + number)),127.0.0.1:$((5610 + number)),127.0.0.1:$((5620 + number))")
  done
  start machines "$bin/gaugeyard-standin" machines --listen "${GAUGEYARD_MACHINES#http://}" "${list[@]}"
  start fabric "$bin/gaugeyard-standin" fabric --machines "$GAUGEYARD_MACHINES" --return "$return_address" \
    --deliver "$deliver_address" --service 127.0.0.1:5701 --service 127.0.0.1:5702 --service 127.0.0.1:5703
  for number in $(seq 1 14); do start_backend "s$(printf %02d "$number")" $((5800 + number)) 5701 5702; done
  for number in $(seq 1 4); do start_backend "i0$number" $((6000 + number)) 5703; done
  retry 50 "$bin/gaugeyard" apply --author demo examples/litera.yaml || return 1
  for number in 1 2 3; do
    start_balancer "$number" --bootstrap true --peers 127.0.0.1:5611,127.0.0.1:5612,127.0.0.1:5613
  done
  retry 100 serving 3 && sleep 0.5 # the fabric reads the list five times a second
}

# retry COUNT COMMAND... repeats a command ten times a second until it succeeds.
retry() {
  local count=$1
  shift
  for _ in $(seq "$count"); do
    if "$@" >"$work/retry.out" 2>&1; then return 0; fi
    sleep 0.1
  done
  cat "$work/retry.out" >&2
  return 1
}

# serving COUNT tells whether so many balancers serve, with every flow held twice.
serving() {
  [ "$("$bin/gaugeyard" status --json | grep -o '"phase":"serving"[^[]*"members":[^]]*],"settled":true' | wc -l)" = "$1" ]
}

stop_fleet() {
  for process in "${started[@]}"; do kill -KILL "$process" 2>/dev/null; done
  wait 2>/dev/null
}
