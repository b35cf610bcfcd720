#!/usr/bin/env bash
# Policies on a real fleet: a denied tenant, a limit of tokens, a policy that fails in use, a faulty program refused while
# the old one stays in force, and resends of jobs that were accepted under an earlier policy.
set -uo pipefail
cd "$(dirname "$0")/../.."
FLEET_LOGS=$(mktemp -d)
source tools/fleet.sh
trap 'fleet_finish $?' EXIT
rm -rf run-data
ctl=build/bin/hatchfork
gateway=http://127.0.0.1:7301
failures=0

fail() {
  echo "$1"
  failures=$((failures + 1))
}

# apply_policy EXIT-CODE TEXT PROGRAM: puts the policy "hours" of the service timesheet.
apply_policy() {
  local code=$1 text=$2 actual=0 output
  printf '%s\n' "$3" >"$FLEET_LOGS/hours.lua"
  echo '{"policies": [{"name": "hours", "file": "hours.lua"}], "services": [{"id": "timesheet", "policy": "hours"}]}' \
    >"$FLEET_LOGS/change.json"
  output=$("$ctl" ctl config apply --file "$FLEET_LOGS/change.json" --wait 2>&1) || actual=$?
  if [ "$actual" -ne "$code" ] || ! grep -qF -- "$text" <<<"$output"; then
    fail "apply: expected exit $code and \"$text\", got exit $actual: $output"
  fi
}

# expect STATUS TEXT KEY CURL-ARGUMENTS...: one answer with this status that holds the text.
expect() {
  local status=$1 text=$2 key=$3 answer
  shift 3
  answer=$(curl -s --max-time 20 -w '\n%{http_code}' -H "Authorization: Bearer $key" "$@")
  if [ "$(tail -n 1 <<<"$answer")" != "$status" ] || ! grep -qF -- "$text" <<<"$answer"; then
    fail "expected $status and $text, got: $answer ($*)"
  fi
}
online() {  # STATUS TEXT KEY BODY-FIELDS [CURL-ARGUMENTS...]
  local status=$1 text=$2 key=$3 fields=$4
  shift 4
  expect "$status" "$text" "$key" "$@" -d "{\"model\":\"timesheet\",\"prompt\":\"hours of crew 7\"$fields}" "$gateway/v1/completions"
}
batch() {  # STATUS TEXT KEY IDEMPOTENCY-KEY BODY-FIELDS
  expect "$1" "$2" "$3" -H "Idempotency-Key: $4" \
    -d "{\"custom_id\":\"day-1\",\"body\":{\"prompt\":\"hours\"$5}}" "$gateway/v1/batches?model=timesheet"
}
metric() { curl -s "$gateway/metrics" | sed -n "s/^hatchfork_traffic_$1 //p"; }
runs() {
  local engine
  for engine in 1 2 3 4 5 6; do curl -s "http://127.0.0.1:740$engine/runs"; done |
    python3 -c 'import json,sys
text, decoder, total = sys.stdin.read(), json.JSONDecoder(), 0
while text.strip():
    counts, end = decoder.raw_decode(text.lstrip())
    text, total = text.lstrip()[end:], total + sum(counts.values())
print(total)'
}

fleet_start_all
fleet_apply settings/local/configuration.json || exit 1
cat >"$FLEET_LOGS/tenants.json" <<JSON
{"tenants": [{"id": "visitors", "key_hashes": ["$(echo visitors-key | "$ctl" ctl key hash)"]}]}
JSON
fleet_apply "$FLEET_LOGS/tenants.json" || exit 1
fleet_wait_ready "$gateway/readyz" || exit 1
online 200 '"completion_tokens":4' visitors-key ',"max_tokens":4'
batch 200 '"id":"job-' visitors-key early ',"max_tokens":4'

apply_policy 0 'in force everywhere' '
function decide(request)
  if request.tenant == "visitors" then
    return { allow = false, reason = "visitors are not served at night" }
  end
  if request.tenant == "site-clerks" and request.urgency == "low" then
    local nothing = nil
    return nothing.at_all
  end
  return { allow = true, urgency = "high", limits = { max_tokens = 8 } }
end'
online 200 '"completion_tokens":4' demo-key ',"max_tokens":4'
online 200 '"completion_tokens":8' demo-key ''
runs_before=$(runs)
online 403 'visitors are not served at night' visitors-key ',"max_tokens":4'
online 403 '"kind":"policy_denied"' visitors-key ',"max_tokens":4'
online 403 '"executed":"no"' visitors-key ',"max_tokens":4'
online 403 'at most 8 max_tokens' demo-key ',"max_tokens":9'
online 403 '"kind":"policy_failed"' demo-key ',"max_tokens":4' -H 'X-Hatchfork-Urgency: low'
online 403 '"executed":"no"' demo-key ',"max_tokens":4' -H 'X-Hatchfork-Urgency: low'
online 400 'invalid_argument' demo-key ',"max_tokens":4' -H 'X-Hatchfork-Urgency: soon'
batch 403 '"kind":"policy_denied"' visitors-key late ',"max_tokens":4'
batch 403 'item day-1' demo-key long ',"max_tokens":9'
[ "$(runs)" = "$runs_before" ] || fail "a refused request was run: $runs_before runs before, $(runs) after"
[ "$(metric policy_denied_total)" = 4 ] || fail "denied: $(metric policy_denied_total) counted, 4 refused"
[ "$(metric policy_failed_total)" = 2 ] || fail "failed: $(metric policy_failed_total) counted, 2 refused"
# A job that was accepted before is the same job, whatever the policy says now.
batch 200 '"id":"job-' visitors-key early ',"max_tokens":4'
batch 200 '"id":"job-' demo-key short ',"max_tokens":8'

# Refused programs: the policy in force stays.
apply_policy 1 'policy_failed' 'function decide(request) return { allow = true'
apply_policy 1 'runs too long' 'function decide(request) while true do end end'
apply_policy 1 'memory' 'function decide(r) local s = "xxxxxxxx" while true do s = s .. s end end'
apply_policy 1 'unknown key alow' 'function decide(request) return { alow = true } end'
apply_policy 1 'no function decide' 'decide = 1'
apply_policy 1 "global 'os'" 'os.execute("true")'
online 403 'visitors are not served at night' visitors-key ',"max_tokens":4'
online 200 '"completion_tokens":4' demo-key ',"max_tokens":4'

# A new program takes the old one's place.
apply_policy 0 'in force everywhere' 'function decide(request) return { allow = request.tenant == "visitors" } end'
online 200 '"completion_tokens":4' visitors-key ',"max_tokens":4'
online 403 '"kind":"policy_denied"' demo-key ',"max_tokens":4'

# Under pressure the less urgent work is shed, and an urgency of another policy changes who that is.
apply_urgency() {
  apply_policy 0 'in force everywhere' "
function decide(request)
  if request.tenant == 'visitors' then return { allow = true, may_shed = true, urgency = '$1' } end
  return { allow = true }
end"
}
apply_urgency low
online 200 '"completion_tokens":4' visitors-key ',"max_tokens":4'
# This gateway's share is 24 of 48 slots; 20 long requests are a pressure of 0.83.
long_requests=()
for request in $(seq 1 20); do
  curl -sN -o /dev/null -H 'Authorization: Bearer demo-key' "$gateway/v1/completions" \
    -d '{"model":"timesheet","prompt":"a long night","max_tokens":100000,"stream":true}' &
  long_requests+=($!)
done
for try in $(seq 1 300); do
  [ "$(metric online_in_flight)" = 20 ] && break
  sleep 0.1
done
online 503 '"kind":"overloaded"' visitors-key ',"max_tokens":4'
online 503 'sheds such requests' visitors-key ',"max_tokens":4'
online 200 '"completion_tokens":4' demo-key ',"max_tokens":4'
[ "$(metric policy_shed_total)" = 2 ] || fail "shed: $(metric policy_shed_total) counted, 2 refused"
apply_urgency high
online 200 '"completion_tokens":4' visitors-key ',"max_tokens":4'
kill "${long_requests[@]}"
wait "${long_requests[@]}" 2>/dev/null

fleet_stop_all || fail "planned stop failed"
[ "$failures" -eq 0 ] && echo "all answers as expected"
exit "$failures"
