#!/usr/bin/env bash
# Runs the real shape of the system on loopback: the platform stand-in, 3 VMs
# in 3 failure domains and 8 workers in 2 racks, each a process of its own.
# Usage: scripts/local.sh up|down|status|kill NAME|start NAME
# State (settings, logs, process IDs) is kept in .local/. BASE_PORT (7400) moves
# all ports.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=.local
base=${BASE_PORT:-7400}
vms="vm-1 vm-2 vm-3"
workers="w-1 w-2 w-3 w-4 w-5 w-6 w-7 w-8"
platform="http://127.0.0.1:$base"

number() { echo "${1##*-}"; }
http_port() { echo $((base + 10 + $(number "$1"))); }
peer_port() { echo $((base + 20 + $(number "$1"))); }
worker_port() { echo $((base + 30 + $(number "$1"))); }

alive() { [ -f "$dir/$1.pid" ] && kill -0 "$(cat "$dir/$1.pid")" 2>/dev/null; }

launch() { # name command...
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  echo $! >"$dir/$name.pid"
}

write_settings() { # vm name
  local n=$1 seeds="" vm
  for vm in $vms; do seeds="$seeds    - 127.0.0.1:$(peer_port "$vm")"$'\n'; done
  cat >"$dir/$n.yaml" <<YAML
vm:
  id: $n
  failure_domain: local/zone-$(number "$n")
  listen: 127.0.0.1:$(http_port "$n")
  peer_listen: 127.0.0.1:$(peer_port "$n")
platform:
  url: $platform
peers:
  token_file: $dir/peer.token
  seeds:
$seeds
policy:
  bootstrap: deploy/local/policy.yaml
drain:
  timeout: 20s
YAML
}

start_one() {
  case $1 in
    platform) launch platform bin/standin platform --listen "127.0.0.1:$base" ;;
    vm-*) write_settings "$1"; launch "$1" bin/carawayusherd serve --config "$dir/$1.yaml" ;;
    w-*)
      local n rack
      n=$(number "$1")
      rack=$(((n - 1) / 4 + 1))
      launch "$1" bin/standin worker --listen "127.0.0.1:$(worker_port "$1")" --id "$1" \
        --rack "rack-$rack" --failure-domain "local/zone-$rack" --platform "$platform"
      ;;
    *) echo "unknown process $1" >&2; exit 2 ;;
  esac
}

wait_http() { # url
  for _ in $(seq 1 150); do
    if curl -sf -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1; see the logs in $dir" >&2
  return 1
}

up() {
  make -s build
  mkdir -p "$dir"
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/peer.token"
  start_one platform
  sleep 0.3
  for w in $workers; do start_one "$w"; done
  for vm in $vms; do start_one "$vm"; done
  for vm in $vms; do wait_http "http://127.0.0.1:$(http_port "$vm")/readyz"; done
  status
  cat <<TEXT

Use the system with:
  export CARAWAYUSHER_SERVER=http://127.0.0.1:$(http_port vm-1)
  export CARAWAYUSHER_TOKEN=postbud-local-token     # or lautoka-local-token, ...
  export CARAWAYUSHER_OPERATOR_TOKEN=alice-local-token
  bin/carawayctl workers
TEXT
}

stop_one() { # name signal
  if alive "$1"; then kill "-$2" "$(cat "$dir/$1.pid")"; fi
}

down() {
  for p in $vms $workers platform; do stop_one "$p" TERM; done
  for p in $vms $workers platform; do
    for _ in $(seq 1 300); do alive "$p" || break; sleep 0.1; done
    stop_one "$p" KILL
    rm -f "$dir/$p.pid"
  done
}

status() {
  for p in platform $vms $workers; do
    if alive "$p"; then echo "$p running (process $(cat "$dir/$p.pid"))"; else echo "$p stopped"; fi
  done
}

case ${1:-} in
  up) up ;;
  down) down ;;
  status) status ;;
  kill) stop_one "$2" KILL; rm -f "$dir/$2.pid" ;;
  stop) stop_one "$2" TERM ;;
  start) start_one "$2" ;;
  *) echo "usage: $0 up|down|status|kill NAME|stop NAME|start NAME" >&2; exit 2 ;;
esac
