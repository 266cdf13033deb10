#!/usr/bin/env bash
# Builds swiftlink and starts three failure domains with a router and a ledger each,
# an operator and the stand-ins, all on free loopback ports; applies the sample
# resources, sends a request through two routers, and stays up until Ctrl-C.
#
# SIGINT, SIGTERM and SIGHUP stop it and every process that it started. A shell starts
# background jobs with SIGINT ignored, which no trap can undo; GNU env resets it here.
# Without GNU env, use SIGTERM.
#
# --once: exits after the requests. The last line is then
#   charged=N served=N answers=N
# tokens charged by the log, tokens that the engines ran, complete answers received.
set -euo pipefail

if [[ -n $(trap -p INT) ]] && env --default-signal=INT true 2>/dev/null; then
    exec env --default-signal=INT bash "${BASH_SOURCE[0]}" "$@"
fi

readonly DOMAINS=(rennes-a rennes-b brest)
readonly SHARDS=4
readonly BUDGET=registry-2026
readonly MODEL=registry-model
readonly API_KEY=sample-key-of-the-notaries
readonly FIRST_PORT=14000      # below the ephemeral port range
readonly PORT_COUNT=16000
readonly WAIT_TRIES=300        # intervals of 0.1 s
readonly STOP_TRIES=100        # intervals of 0.1 s

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
once=no
work=
idle=                          # pid of the sleep that runs until a signal
next_port=$((FIRST_PORT + $$ * 37 % PORT_COUNT))
daemons=()                     # pids, in stop order
standins=()

usage() {
    sed -n '2,12s/^# \{0,1\}//p' "${BASH_SOURCE[0]}"
}

say() {
    printf '%s\n' "$*"
}

die() {
    printf 'quickstart: %s\n' "$*" >&2
    if [[ -n $work ]]; then
        tail -n 5 "$work"/*.log >&2 || true
    fi
    exit 1
}

is_alive() {
    kill -0 "$1" 2>/dev/null
}

# Stops the given pids: SIGTERM, then SIGKILL for those that do not exit.
end_all() {
    local pid try=0
    for pid in "$@"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "$@"; do
        while is_alive "$pid" && ((try++ < STOP_TRIES)); do
            sleep 0.1
        done
        if is_alive "$pid"; then
            printf 'quickstart: process %s did not exit on SIGTERM\n' "$pid" >&2
            kill -KILL "$pid" 2>/dev/null || true
        fi
        wait "$pid" 2>/dev/null || true
    done
}

clean_up() {
    local status=$?
    # A second signal must not interrupt the cleanup.
    trap '' INT TERM HUP
    trap - EXIT
    end_all "${daemons[@]}"
    end_all "${standins[@]}"
    end_all $idle
    [[ -z $work ]] || rm -rf "$work"
    exit "$status"
}

# Sets `port` to the next port without a listener.
free_port() {
    local try
    for ((try = 0; try < PORT_COUNT; try++)); do
        port=$next_port
        next_port=$((FIRST_PORT + (next_port + 1 - FIRST_PORT) % PORT_COUNT))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            return
        fi
    done
    die "no free port from $FIRST_PORT on"
}

# Starts the stand-in of kind $1 under the name $2; sets `address` to its listener.
start_standin() {
    local kind=$1 name=$2 try pid
    shift 2
    "$bin/standin-$kind" --listen 127.0.0.1:0 "$@" >"$work/$name.log" 2>&1 &
    pid=$!
    standins+=("$pid")
    for ((try = 0; try < WAIT_TRIES; try++)); do
        address=$(sed -n 's/^listening=//p' "$work/$name.log")
        [[ -z $address ]] || return 0
        is_alive "$pid" || die "$name has exited"
        sleep 0.1
    done
    die "$name did not start to listen"
}

# Starts the daemon of role $1 under the name $2, and waits until $3 serves its status.
start_daemon() {
    local role=$1 name=$2 admin=$3 try pid
    "$bin/swiftlink-$role" --settings "$work/$name.toml" >"$work/$name.log" 2>&1 &
    pid=$!
    daemons+=("$pid")
    for ((try = 0; try < WAIT_TRIES; try++)); do
        ! curl -sf "http://$admin/status" >/dev/null 2>&1 || return 0
        is_alive "$pid" || die "$name has exited"
        sleep 0.1
    done
    die "$name serves no status at $admin"
}

common_settings() {
    local at=$1 listen=$2 admin=$3
    printf 'vm = "vm-%s"\ndomain = "%s"\nlisten = "%s"\nadmin = "%s"\nsecret = "%s"\n' \
        "$at" "${DOMAINS[at]}" "$listen" "$admin" "$secret"
}

# Prints a link to another process, as an entry of the table array $1.
link_settings() {
    printf '\n[[%s]]\nname = "vm-%s"\naddress = "%s"\ndomain = "%s"\n' \
        "$1" "$2" "$3" "${DOMAINS[$2]}"
}

write_settings() {
    local at other
    for at in "${!DOMAINS[@]}"; do
        {
            common_settings "$at" "${ledgers[at]}" "${ledger_admins[at]}"
            printf 'log = "%s"\nvms = "%s"\nshards = %s\n' "$log" "$vms" "$SHARDS"
            for other in "${!DOMAINS[@]}"; do
                [[ $other == "$at" ]] || link_settings peers "$other" "${ledgers[other]}"
            done
        } >"$work/ledger-$at.toml"
        {
            common_settings "$at" "${routers[at]}" "${router_admins[at]}"
            printf 'vms = "%s"\nshards = %s\n' "$vms" "$SHARDS"
            printf 'service_load = "/_standin/load"\n'
            for other in "${!DOMAINS[@]}"; do
                link_settings ledgers "$other" "${ledgers[other]}"
                [[ $other == "$at" ]] || link_settings peers "$other" "${routers[other]}"
            done
        } >"$work/router-$at.toml"
    done
    {
        common_settings 0 "$operator" "$operator_admin"
        printf 'log = "%s"\ntoken = "%s"\n' "$log" "$(<"$work/token")"
        for at in "${!DOMAINS[@]}"; do
            link_settings ledgers "$at" "${ledgers[at]}"
            process_settings "router-$at" router "${router_admins[at]}"
            process_settings "ledger-$at" ledger "${ledger_admins[at]}"
        done
        process_settings operator operator "$operator_admin"
    } >"$work/operator.toml"
}

process_settings() {
    printf '\n[[processes]]\nname = "%s"\nrole = "%s"\nadmin = "%s"\n' "$1" "$2" "$3"
}

# Writes the sample resources with the addresses of the stand-ins.
write_resources() {
    sed -e "s/127\.0\.0\.1:9001/${engines[0]}/" \
        -e "s/127\.0\.0\.1:9002/${engines[1]}/" \
        -e "s/127\.0\.0\.1:9201/${engines[2]}/" \
        -e "s/127\.0\.0\.1:9101/$viewer/" \
        "$root/examples/fleet.toml" >"$work/fleet.toml"
}

operator_cli() {
    "$bin/swiftlink" "$@" --operator "$operator" --token-file "$work/token"
}

apply_resources() {
    local try
    for ((try = 0; try < WAIT_TRIES; try++)); do
        if operator_cli apply -f "$work/fleet.toml" >"$work/apply.log" 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    die "could not apply the sample resources"
}

# Prints the number under the key $1 in the JSON text on standard input.
number_of() {
    grep -o "\"$1\": *[0-9]*" | head -n 1 | grep -o '[0-9]*$'
}

# Waits until each router has joined and runs the operator's configuration version.
wait_for_routers() {
    local version admin status try
    version=$(curl -sf "http://$operator_admin/status" | number_of config_version)
    for admin in "${router_admins[@]}"; do
        for ((try = 0; try < WAIT_TRIES; try++)); do
            status=$(curl -sf "http://$admin/status" || true)
            if [[ $status == *"\"joined\":$SHARDS,"* ]] &&
                (($(number_of version <<<"$status") >= version)); then
                continue 2
            fi
            sleep 0.1
        done
        die "the router with the admin address $admin is not ready"
    done
}

budget_charged() {
    operator_cli budget "$BUDGET" -o json | number_of charged
}

# Sends the prompt $2 to router $1; $3 is true for a stream. Counts complete answers
# and their charges.
ask() {
    local answer charged
    answer=$(curl -sS --max-time 60 "http://$1/v1/chat/completions" \
        -H "Authorization: Bearer $API_KEY" -H 'Content-Type: application/json' \
        -d "{\"model\":\"$MODEL\",\"stream\":$3,\"max_tokens\":64,
             \"messages\":[{\"role\":\"user\",\"content\":\"$2\"}]}") ||
        die "no answer from $1"
    sed 's/^id: .*//; s/^data: //; /^$/d' <<<"$answer"
    if [[ $answer != *'"outcome":"ran"'* ]]; then
        die "the request was not served"
    fi
    charged=$(number_of charged <<<"$answer")
    told=$((told + charged))
    answers=$((answers + 1))
}

# Prints the tokens that the engines of the model ran.
tokens_served() {
    local engine
    for engine in "${engines[@]:0:2}"; do
        curl -sf "http://$engine/runs"
    done | grep -oE '"(prompt|completion)_tokens": *[0-9]+' | grep -oE '[0-9]+$' |
        awk '{ sum += $1 } END { print sum + 0 }'
}

wait_for_charges() {
    local try
    for ((try = 0; try < WAIT_TRIES; try++)); do
        (($(budget_charged) < charged_before + told)) || return 0
        sleep 0.1
    done
    die "the charges did not reach the log"
}

print_addresses() {
    say ""
    say "Addresses to try (Ctrl-C, or kill $$, ends all):"
    for at in "${!DOMAINS[@]}"; do
        say "  ${DOMAINS[at]}: router http://${routers[at]}," \
            "its state http://${router_admins[at]}/dump"
    done
    say "  operator http://$operator, log http://$log, VM list http://$vms/vms"
    say "  engines http://${engines[0]} http://${engines[1]} http://${engines[2]}"
    say ""
    say "  curl -N http://${routers[0]}/v1/chat/completions \\"
    say "    -H 'Authorization: Bearer $API_KEY' \\"
    say "    -d '{\"model\":\"$MODEL\",\"stream\":true," \
        "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'"
    say "  curl http://${routers[1]}/services/viewer/tiles/12/7" \
        "-H 'Authorization: Bearer $API_KEY'"
    say "  curl -X PUT http://${engines[0]}/_standin/fault -d '{\"draining\":true}'"
    say "  $bin/swiftlink budget $BUDGET --operator $operator --token-file $work/token"
}

case ${1:-} in
    "") ;;
    --once) once=yes ;;
    -h | --help)
        usage
        exit 0
        ;;
    *)
        usage >&2
        exit 2
        ;;
esac

cd "$root"
cargo build --locked --bins
bin=${CARGO_TARGET_DIR:-$root/target}/debug

trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
trap 'exit 129' HUP
work=$(mktemp -d)
random_hex() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }
secret=$(random_hex)
(umask 077 && random_hex >"$work/token")

routers=() router_admins=() ledgers=() ledger_admins=() engines=()
for at in "${!DOMAINS[@]}"; do
    free_port && routers+=("127.0.0.1:$port")
    free_port && router_admins+=("127.0.0.1:$port")
    free_port && ledgers+=("127.0.0.1:$port")
    free_port && ledger_admins+=("127.0.0.1:$port")
done
free_port && operator=127.0.0.1:$port
free_port && operator_admin=127.0.0.1:$port

start_standin log log && log=$address
vm_args=()
for at in "${!DOMAINS[@]}"; do
    vm_args+=(--vm "vm-$at:${DOMAINS[at]}")
done
start_standin vms vms "${vm_args[@]}" && vms=$address
for at in 0 1 2; do
    start_standin engine "engine-$at" --pace-ms 5 && engines+=("$address")
done
start_standin service viewer && viewer=$address

write_settings
write_resources
for at in "${!DOMAINS[@]}"; do
    start_daemon router "router-$at" "${router_admins[at]}"
done
for at in "${!DOMAINS[@]}"; do
    start_daemon ledger "ledger-$at" "${ledger_admins[at]}"
done
start_daemon operator operator "$operator_admin"
apply_resources
wait_for_routers

charged_before=$(budget_charged)
told=0 answers=0
say "Budget before:"
operator_cli budget "$BUDGET"
say ""
say "An unstreamed answer through the router in ${DOMAINS[0]}:"
ask "${routers[0]}" "Who owned parcel 1204 before 1950?" false
say ""
say "A streamed answer through the router in ${DOMAINS[2]}:"
ask "${routers[2]}" "Summarise the history of parcel 88." true
say ""
wait_for_charges
say "Budget after:"
operator_cli budget "$BUDGET"

if [[ $once == no ]]; then
    print_addresses
    # A trap interrupts `wait` at once; a foreground sleep would delay it.
    while :; do
        sleep 3600 &
        idle=$!
        wait "$idle"
    done
fi

charged=$(($(budget_charged) - charged_before))
served=$(tokens_served)
end_all "${daemons[@]}"
end_all "${standins[@]}"
daemons=() standins=()
say "charged=$charged served=$served answers=$answers"
