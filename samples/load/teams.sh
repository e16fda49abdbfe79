#!/usr/bin/env bash
# Writes a service text of the target size: 290 teams with four services each.
cat <<HEAD
{
"name": "target",
"data_centres": ["tartu"],
"worker_shapes": [{"milli_cpu": 16000, "memory_mb": 32768, "slots": 32, "connections": 64}],
"teams": [
HEAD
for i in $(seq 290); do
  echo "{\"name\": \"team-$i\", \"quota\": {\"milli_cpu\": $((100000 + 100 * i)), \"memory_mb\": $((200000 + 100 * i))}},"
done
echo '],'
echo '"services": ['
for i in $(seq 290); do
  cat <<TEAM
{
  "name": "team-$i-store", "team": "team-$i", "class": "service", "instances": 1,
  "resources": {"milli_cpu": 100, "memory_mb": 128},
},
{
  "name": "team-$i-check", "team": "team-$i", "class": "interactive", "idempotent": true, "deadline": "3100ms",
  "depends_on": ["team-$i-store"], "on_dependency_down": "degrade", "max_attempts": 3, "max_body_bytes": 16384,
  "resources": {"milli_cpu": 500, "memory_mb": 256, "connections": 1},
  "service_level": {"objective": 0.999, "latency": "3100ms", "window": "720h"},
},
{
  "name": "team-$i-booking", "team": "team-$i", "class": "interactive", "idempotent": false, "deadline": "10s",
  "depends_on": ["team-$i-store"], "on_dependency_down": "hold", "max_body_bytes": 16384,
  "resources": {"milli_cpu": 500, "memory_mb": 256, "connections": 1},
},
{
  "name": "team-$i-plan", "team": "team-$i", "class": "batch", "idempotent": true, "deadline": "9h",
  "max_run_time": "2h", "max_attempts": 4, "max_body_bytes": 262144,
  "resources": {"milli_cpu": 2000, "memory_mb": 2048},
},
TEAM
done
echo ']}'
