# Sourced by the scripts that run a small fleet on loopback addresses: starts and stops its processes, by id only.
# The caller sets `label` (prefix of messages) and `run` (folder of logs) before it calls a function.
program=bin/sesamehead
failure_domains="cebu bohol leyte"
platform_options=${platform_options:-}
daemon_pids=()
stand_in_pids=()
frozen_pid=""

say() {
  echo "$label: $*"
}

# Ends the processes with the given ids; those that outlast the grace are killed.
stop_pids() {
  local pid deadline=$((SECONDS + 12))
  for pid in "$@"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "$@"; do
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# Forgets a process that has ended and was waited for: its id may belong to another process from now on.
forget_pid() {
  local kept=() pid
  for pid in "${stand_in_pids[@]}"; do
    [ "$pid" = "$1" ] || kept+=("$pid")
  done
  stand_in_pids=("${kept[@]}")
}

stop_all() {
  if [ -n "$frozen_pid" ]; then
    kill -CONT "$frozen_pid" 2>/dev/null || true
    frozen_pid=""
  fi
  stop_pids ${daemon_pids[@]+"${daemon_pids[@]}"}
  daemon_pids=()
  stop_pids ${stand_in_pids[@]+"${stand_in_pids[@]}"}
  stand_in_pids=()
}
trap stop_all EXIT
trap 'exit 1' INT TERM

# Prints a port that nothing listens on, starting from a random one below the range of outgoing connections.
next_port=$((20000 + RANDOM % 10000))
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
  port=$next_port
  next_port=$((next_port + 1))
}

# Waits for a stand-in's address in its log.
address_in() {
  local tries=0
  until grep -q "listens on" "$1" 2>/dev/null; do
    tries=$((tries + 1))
    if [ "$tries" -gt 200 ]; then
      say "no address in $1" >&2
      return 1
    fi
    sleep 0.1
  done
  sed -n 's/.*listens on //p' "$1" | head -n 1
}

start_platform() {
  # shellcheck disable=SC2086
  $program stand-in platform --address 127.0.0.1:0 --calls-per-second 400 $platform_options > "$run/platform.log" 2>&1 &
  stand_in_pids+=($!)
  platform=$(address_in "$run/platform.log")
  export SESAMEHEAD_PLATFORM=$platform
}

start_service() {
  $program stand-in service --address 127.0.0.1:0 --asks-by-key --call-millis 5 > "$run/orders.log" 2>&1 &
  stand_in_pids+=($!)
  service=$(address_in "$run/orders.log")
}

# Each fabric domain has engines for two groups of two VMs and a spare.
declare -A engine_pid
start_engines() {
  local domain fabric number vm
  for domain in $failure_domains; do
    for fabric in 1 2; do
      for number in 1 2 3 4 5; do
        vm=$domain-f$fabric-vm$number
        SESAMEHEAD_HEAP=40m $program stand-in engine --address 127.0.0.1:0 --vm "$vm" --checks-fencing \
          --load-millis 500 --token-millis 10 --platform "$platform" \
          --failure-domain "$domain" --fabric-domain "$domain-f$fabric" > "$run/engine-$vm.log" 2>&1 &
        engine_pid[$vm]=$!
        stand_in_pids+=($!)
      done
    done
  done
  for vm in "${!engine_pid[@]}"; do
    address_in "$run/engine-$vm.log" > /dev/null
  done
}

callers=""
admins=""
seeds=""
declare -A caller_port peer_port admin_port daemon_pid
choose_ports() {
  local domain number name
  for domain in $failure_domains; do
    for number in 1 2; do
      name=$domain-$number
      free_port; caller_port[$name]=$port
      free_port; peer_port[$name]=$port
      free_port; admin_port[$name]=$port
      callers=$callers${callers:+,}127.0.0.1:${caller_port[$name]}
      admins=$admins${admins:+,}127.0.0.1:${admin_port[$name]}
      seeds=$seeds${seeds:+, }127.0.0.1:${peer_port[$name]}
    done
  done
  export SESAMEHEAD_ADMIN=$admins
}

# Starts one daemon; its settings are the example's with the names and addresses of this run.
start_daemon() {
  local name=$1
  sed -e "s/^name = .*/name = $name/" \
    -e "s/^failure-domain = .*/failure-domain = ${name%-*}/" \
    -e "s/^caller-address = .*/caller-address = 127.0.0.1:${caller_port[$name]}/" \
    -e "s/^peer-address = .*/peer-address = 127.0.0.1:${peer_port[$name]}/" \
    -e "s/^admin-address = .*/admin-address = 127.0.0.1:${admin_port[$name]}/" \
    -e "s/^address = .*/address = $platform/" \
    -e "s/^seeds = .*/seeds = $seeds/" \
    docs/examples/daemon.ini > "$run/$name.ini"
  $program check-settings "$run/$name.ini" > /dev/null
  $program daemon --settings "$run/$name.ini" >> "$run/$name.log" 2>&1 &
  daemon_pid[$name]=$!
  daemon_pids+=($!)
}

start_daemons() {
  local domain number
  for domain in $failure_domains; do
    for number in 1 2; do
      start_daemon "$domain-$number"
    done
  done
}

# Starts the whole fleet and applies the example note to it.
start_fleet() {
  say "logs are in $run"
  start_platform
  start_service
  start_engines
  say "platform at $platform, order service at $service, ${#engine_pid[@]} engines"
  choose_ports
  start_daemons
  sed "s/cebu@127.0.0.1:9301/cebu@$service/" docs/examples/release.ini > "$run/release.ini"
  cat > "$run/environment" <<END
export SESAMEHEAD_PLATFORM=$platform
export SESAMEHEAD_ADMIN=$admins
export CALLER=${callers%%,*}
END
  say "addresses for other commands: . $run/environment"
  say "applying docs/examples/release.ini"
  $program apply "$run/release.ini" --wait --timeout 90
}

# The head of the first group that serves, so that the kill meets work in flight.
serving_head() {
  $program groups | awk '$4 == "serving" { print $7; exit }'
}

