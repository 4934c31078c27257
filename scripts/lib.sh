# Functions that start an estate of stand-ins and daemons on loopback. Scripts
# source this file from the root of the repository, after "make build".
bin=$PWD/bin
work=$(mktemp -d)
pids=()
declare -A pid_of

# stop ends the daemons gracefully and then the stand-ins, newest first.
stop() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" || echo "process ${pids[i]} exited with $?"
  done
  pids=()
}

# halt ends everything at once.
halt() {
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  pids=()
}

finish() {
  local code=$?
  trap - EXIT
  if [ "$code" -ne 0 ]; then
    tail -n 5 "$work"/*/*.log >&2 || true
  fi
  stop
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# start runs a program in the background with its output in a file.
start() { # <log> <program> [arguments]
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
}

# until_ok repeats a command for at most 30 s.
until_ok() {
  local i
  for ((i = 0; i < 300; i++)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "gave up after 30 s: $*" >&2
  "$@"
}

show() {
  echo "\$ medlaryard $*"
  "$bin/medlaryard" "$@" 2>&1
}

# A loopback address of its own gives each estate all ports, also those that
# its catalogue names.
free_address() {
  local ip
  for _ in 1 2 3 4 5; do
    ip=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).1
    if ! (: >"/dev/tcp/$ip/7000") 2>/dev/null; then
      echo "$ip"
      return
    fi
  done
  echo "no free loopback address" >&2
  return 1
}

# launch <name> <region> <catalogue> <domain>... starts the stand-ins and one
# daemon for each domain. It sets dir, ip, callers, operators and pid_of.
launch() {
  local name=$1 region=$2 catalogue=$3 domain peers= i=0
  shift 3
  dir=$work/$name
  mkdir "$dir"
  ip=$(free_address)
  callers= operators=
  sed "s/127\.0\.0\.1/$ip/g" "$catalogue" >"$dir/catalogue.yaml"
  start "$dir/objects.log" "$bin/standin" objects --listen "$ip:7000"
  start "$dir/vms.log" "$bin/standin" vms --listen "$ip:7001"
  start "$dir/searchers.log" "$bin/standin" searchers --catalogue "$dir/catalogue.yaml" --admin "$ip:7002"
  until_ok grep -q '^admin' "$dir/searchers.log"
  until_ok grep -q '^objects' "$dir/objects.log"
  until_ok grep -q '^vms' "$dir/vms.log"
  for domain in "$@"; do
    i=$((i + 1))
    callers+=${callers:+,}$ip:800$i
    operators+=${operators:+,}$ip:820$i
    peers+=${peers:+, }'"'$ip:810$i'"'
  done
  i=0
  for domain in "$@"; do
    i=$((i + 1))
    curl -fsS -o /dev/null -d "{\"name\":\"$name-$i\",\"address\":\"$ip\",\"domain\":\"$domain\"}" "http://$ip:7001/admin/vms"
    cat >"$dir/daemon-$i.yaml" <<EOF
name: $name-$i
region: $region
domain: $domain
caller: {listen: "$ip:800$i"}
peer: {listen: "$ip:810$i"}
operator: {listen: "$ip:820$i"}
store: {address: "$ip:7000"}
vm_list: {address: "$ip:7001"}
peers: [$peers]
address_ttl: 1s
EOF
    serve "$i"
  done
}

# serve <number> starts the daemon of that number.
serve() {
  start "$dir/daemon-$1.log" "$bin/medlaryard" serve "$dir/daemon-$1.yaml"
  pid_of[$1]=${pids[-1]}
}
