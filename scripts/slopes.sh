#!/usr/bin/env bash
# Measures what one VM spends on the targets it owns: one daemon, the platform
# stand-in and N stand-in workers in one process, all on loopback, no jobs. For
# each N it prints one line of key=value pairs: processor time of the daemon as
# a share of one core, resident memory, store calls a second, and TCP segments
# and bytes on loopback a second (all processes together).
# Usage: scripts/slopes.sh [N ...]     (default: 50 200 800 1600)
# SECONDS_EACH (15) is the length of one measurement; LEASE (15s) the task lease.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
counts=${*:-50 200 800 1600}
each=${SECONDS_EACH:-15}
lease=${LEASE:-15s}
dir=$(mktemp -d)
pids=()
stop() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  pids=()
}
trap 'stop; rm -rf "$dir"' EXIT

address() { # file
  for _ in $(seq 1 100); do
    sed -n 's/^listening address=//p' "$1" | head -1 | grep . && return 0
    sleep 0.1
  done
  return 1
}
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
lo() { awk '/^ *lo:/ {sub(/.*lo: */, ""); print $1, $2}' /proc/net/dev; }
calls() { curl -s "$1/admin/counts" | sed 's/.*"calls":{\([^}]*\)}.*/\1/' | tr ',' '\n' | awk -F: '{s += $2} END {print s + 0}'; }

for n in $counts; do
  bin/standin platform --listen 127.0.0.1:0 >"$dir/platform" 2>"$dir/platform.log" &
  pids+=($!)
  platform="http://$(address "$dir/platform")"
  bin/standin workers --count "$n" --listen 127.0.0.1:0 --failure-domain r/a --platform "$platform" >"$dir/workers" 2>"$dir/workers.log" &
  pids+=($!)
  cat >"$dir/vm.yaml" <<YAML
vm: {id: vm-1, failure_domain: r/a, listen: "127.0.0.1:0", peer_listen: "127.0.0.1:0"}
platform: {url: "$platform", vm_list_interval: 30s}
peers: {token: slopes-peer-token-0000}
targets: {lease_ttl: $lease}
policy: {bootstrap: deploy/local/policy.yaml}
YAML
  for _ in $(seq 1 300); do
    [ "$(grep -c address= "$dir/workers" || true)" -ge "$n" ] && break
    sleep 0.1
  done
  bin/carawayusherd serve --config "$dir/vm.yaml" >"$dir/vm.log" 2>&1 &
  vm=$!
  pids+=("$vm")
  sleep 12 # acquire the shards, read the VM list, sync every worker, settle
  t0=$(ticks $vm); c0=$(calls "$platform"); read -r b0 p0 < <(lo)
  sleep "$each"
  t1=$(ticks $vm); c1=$(calls "$platform"); read -r b1 p1 < <(lo)
  rss=$(awk '/VmRSS/ {print int($2 / 1024)}' /proc/$vm/status)
  awk -v n="$n" -v t=$((t1 - t0)) -v s="$each" -v rss="$rss" -v c=$((c1 - c0)) -v b=$((b1 - b0)) -v p=$((p1 - p0)) -v hz="$(getconf CLK_TCK)" 'BEGIN {
    printf "workers=%d lease='"$lease"' cpu_percent=%.2f rss_mib=%d store_calls_per_s=%.2f lo_bytes_per_s=%d lo_packets_per_s=%d\n", n, 100 * t / hz / s, rss, c / s, b / s, p / s }'
  stop
done
