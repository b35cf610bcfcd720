#!/usr/bin/env bash
# The operators' command line on a real fleet: changes that race, resends, history, diff, rights by role, drain, jobs, and
# the repair of a lost disk. Judges by exit codes and by the JSON output.
set -uo pipefail
cd "$(dirname "$0")/../.."
FLEET_LOGS=$(mktemp -d)
source tools/fleet.sh
trap 'fleet_finish $?' EXIT
rm -rf run-data
ctl=build/bin/hatchfork
failures=0

# expect EXIT-CODE TEXT COMMAND...: the command ends so and its output holds the text.
expect() {
  local code=$1 text=$2 actual=0 output
  shift 2
  output=$("$ctl" ctl "$@" 2>&1) || actual=$?
  if [ "$actual" -ne "$code" ] || ! grep -qF -- "$text" <<<"$output"; then
    echo "expected exit $code and \"$text\", got exit $actual: $output ($*)"
    failures=$((failures + 1))
  fi
}

# value EXPRESSION COMMAND...: a value of the command's JSON output, which is `out` in the Python expression.
value() {
  local expression=$1
  shift
  "$ctl" ctl "$@" --output json 2>/dev/null |
    python3 -c 'import json,sys; out = json.load(sys.stdin); print(eval(sys.argv[1]))' "$expression"
}

expect_value() {  # WANTED EXPRESSION COMMAND...
  local wanted=$1 actual
  shift
  actual=$(value "$@")
  if [ "$actual" != "$wanted" ]; then
    echo "expected $wanted, got $actual ($*)"
    failures=$((failures + 1))
  fi
}

fleet_start_all
fleet_apply settings/local/configuration.json || exit 1
fleet_wait_ready http://127.0.0.1:7301/readyz || exit 1
fleet_wait_ready http://127.0.0.1:7302/readyz || exit 1

# Usage: exit code 2, and nothing is asked of a server.
expect 2 'no command "nonsense"' nonsense
expect 2 'see --help' config apply
expect 2 'unknown key servces' config apply --file <(echo '{"servces": []}')
expect 2 'is no address' status --server localhost:7201
expect 0 '--change-id' config apply --help
expect 2 'no key' key hash --file /dev/null
expect 0 c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c key hash --file <(echo demo-key)

# Two changes on the same revision: exactly one wins, the other learns the present revision.
put_service() { echo "{\"services\": [{\"id\": \"$1\"}]}" >"$FLEET_LOGS/$1.json"; }
put_service left
put_service right
"$ctl" ctl config apply --file "$FLEET_LOGS/left.json" --base 1 --change-id left --reason "race" \
  >"$FLEET_LOGS/left.out" 2>&1 &
left=$!
"$ctl" ctl config apply --file "$FLEET_LOGS/right.json" --base 1 --change-id right --reason "race" \
  >"$FLEET_LOGS/right.out" 2>&1 &
right=$!
left_code=0
right_code=0
wait "$left" || left_code=$?
wait "$right" || right_code=$?
if [ "$((left_code + right_code))" -ne 1 ] || ! cat "$FLEET_LOGS"/{left,right}.out | grep -q 'the current revision is 2'; then
  echo "not exactly one of two changes won: $left_code $right_code $(cat "$FLEET_LOGS"/{left,right}.out)"
  failures=$((failures + 1))
fi

# A resend gets the first answer, also after later changes; the identifier with other content is refused.
put_service later
expect 0 'accepted as revision 3' config apply --file "$FLEET_LOGS/later.json" --change-id later
winner=left
loser=right
[ "$left_code" -ne 0 ] && winner=right && loser=left
expect 0 'accepted as revision 2' config apply --file "$FLEET_LOGS/$winner.json" --base 1 --change-id "$winner" --reason race
expect 1 'conflict' config apply --file "$FLEET_LOGS/$loser.json" --base 1 --change-id "$loser" --reason race
expect 1 'with other content' config apply --file "$FLEET_LOGS/later.json" --base 1 --change-id "$winner" --reason race
expect_value 3 'out["revision"]' config get
expect_value "['demo-initial', '$winner', 'later']" '[c["change"]["change_id"] for c in out["changes"]]' config history
expect_value "[('service', 'later')]" '[(d["type"], d["name"]) for d in out["differences"]]' config diff 2 3
expect_value "[('service', 'new')]" '[(d["type"], d["name"]) for d in out["differences"]]' \
  config diff --file <(echo '{"services": [{"id": "new"}]}')
expect_value 1 'out["revision"]' config get --revision 1
expect 1 'not_found' config get --revision 99

# A silent server is passed over.
expect 0 'later' config get --server 127.0.0.1:7299,127.0.0.1:7203

# Drain: in force everywhere when the command returns, and requests run elsewhere.
expect 0 'in force everywhere' engine drain engine-1 --wait --reason "inspection"
expect_value drain '[e["state"] for e in out["engines"] if e["engine"] == "engine-1"][0]' status
expect_value "[4, 4]" '[g["enforced"] for g in out["gateways"]]' status
expect_value 5 'len([r for r in out["replicas"] if r["state"] == "ok"])' status
runs_of() { curl -s "http://127.0.0.1:740$1/runs" | python3 -c 'import json,sys; print(sum(json.load(sys.stdin).values()))'; }
others_runs() { echo $(($(runs_of 2) + $(runs_of 3) + $(runs_of 4) + $(runs_of 5) + $(runs_of 6))); }
drained_before=$(runs_of 1)
others_before=$(others_runs)
for request in 1 2 3 4 5 6 7 8; do
  curl -s -o /dev/null --max-time 20 -H 'Authorization: Bearer demo-key' \
    -d '{"model":"timesheet","prompt":"hours","max_tokens":4}' http://127.0.0.1:7301/v1/completions
done
if [ "$(runs_of 1)" != "$drained_before" ] || [ "$(others_runs)" -ne "$((others_before + 8))" ]; then
  echo "a drained engine got work: $drained_before runs before, $(runs_of 1) after; others $others_before, $(others_runs)"
  failures=$((failures + 1))
fi
expect 1 'not_found' engine drain no-such-engine
expect 0 'accepted' engine serve engine-1

# Jobs.
export HATCHFORK_KEY=demo-key
for item in $(seq 1 2500); do
  echo "{\"custom_id\":\"day-$item\",\"body\":{\"prompt\":\"hours of day $item\",\"max_tokens\":4}}"
done >"$FLEET_LOGS/items.jsonl"
job=$(value 'out["id"]' job submit "$FLEET_LOGS/items.jsonl" --model timesheet)
expect_value "$job" 'out["id"]' job submit "$FLEET_LOGS/items.jsonl" --model timesheet
expect 0 '100% 2500/2500 finished' job status "$job" --follow --timeout 60
expect_value 2500 'out["request_counts"]["completed"]' job status "$job"
expect 0 '' job results "$job" --file "$FLEET_LOGS/results.jsonl"
lines=$(sort -u "$FLEET_LOGS/results.jsonl" | grep -c '"state":"completed"')
[ "$lines" -eq 2500 ] || { echo "results: $lines lines of 2500"; failures=$((failures + 1)); }
expect_value 2 'len(out["results"])' job results "$job" --from 2498
second=$(value 'out["id"]' job submit "$FLEET_LOGS/items.jsonl" --model timesheet --idempotency-key second)
expect 0 "$second" job cancel "$second"
expect 0 'finished' job status "$second" --follow --timeout 60
expect_value 2500 'sum(out["request_counts"][k] for k in ("completed", "cancelled"))' job status "$second"
expect 1 'not_found' job status job-1-99999
HATCHFORK_KEY=wrong expect 1 'unauthenticated' job status "$job"
expect 2 'no items' job submit /dev/null --model timesheet
unset HATCHFORK_KEY

# A lost disk: repaired only when the new replica votes in a committed membership of every group.
kill -KILL "${FLEET_PIDS[control-3]}"
wait "${FLEET_PIDS[control-3]}" 2>/dev/null
unset "FLEET_PIDS[control-3]"
rm -rf run-data/control-3
fleet_start_control 3
fleet_wait_ready http://127.0.0.1:7203/readyz || exit 1
expect_value 'not joined' '[r["state"] for r in out["replicas"] if r["address"].endswith(":7203")][0]' status
expect 0 'replaced in all 3 groups, committed' replica replace control-3 --reason "disk lost" --author aida
expect_value '[5, 5, 5]' '[len([m for m in g["membership"]["members"] if m["voter"]]) for g in out["groups"]]' status
expect_value True 'all(g["membership_committed"] for g in out["groups"])' status
expect_value "('aida', 'disk lost')" '(out["entries"][-1]["author"], out["entries"][-1]["reason"])' audit
expect 0 'removed in all 3 groups' replica remove control-5
expect_value 'not a member' '[r["state"] for r in out["replicas"] if r["address"].endswith(":7205")][0]' status
expect_value '[4, 4, 4]' '[len(g["membership"]["members"]) for g in out["groups"]]' status

fleet_stop control-5 || { echo "planned stop of control 5 failed"; failures=$((failures + 1)); }

# Rights: the first admin closes the administration; each role keeps to its part.
hash_of() { printf '%s' "$1" | "$ctl" ctl key hash; }
cat >"$FLEET_LOGS/tenants.json" <<JSON
{"reason": "roles", "tenants": [
  {"id": "root", "role": "admin", "key_hashes": ["$(hash_of root-key)"]},
  {"id": "ops", "role": "operator", "key_hashes": ["$(hash_of ops-key)"]}]}
JSON
expect 0 'accepted' config apply --file "$FLEET_LOGS/tenants.json" --change-id tenants
expect 1 'unauthenticated' config get
expect 1 'unauthenticated' status
expect 0 'accepted' config apply --file "$FLEET_LOGS/tenants.json" --change-id tenants --base 5 --key root-key
expect 0 'ops' config get --key ops-key
expect 0 'accepted' engine drain engine-2 --key ops-key --reason "night"
expect_value "['ops', 'night']" '[out["entries"][-1][k] for k in ("tenant", "reason")]' audit --key ops-key
cat >"$FLEET_LOGS/grab.json" <<JSON
{"tenants": [{"id": "ops", "role": "admin", "key_hashes": ["$(hash_of ops-key)"]}]}
JSON
expect 1 'permission_denied' config apply --file "$FLEET_LOGS/grab.json" --key ops-key
expect 1 'no admin with a key would be left' config apply --file <(echo '{"remove": {"tenants": ["root"]}}') --key root-key
expect 1 'permission_denied' status --key demo-key
expect_value "['site-clerks']" '[t["id"] for t in out["tenants"]]' config get --key demo-key
cat >"$FLEET_LOGS/rotate.json" <<JSON
{"tenants": [{"id": "site-clerks", "key_hashes": ["$(hash_of next-key)"]}]}
JSON
expect 0 'in force everywhere' config apply --file "$FLEET_LOGS/rotate.json" --key demo-key --wait
expect 1 'unauthenticated' config get --key demo-key
expect 0 'site-clerks' config get --key next-key

fleet_stop_all || { echo "planned stop failed"; failures=$((failures + 1)); }
[ "$failures" -eq 0 ] && echo "all commands as expected"
exit "$failures"
