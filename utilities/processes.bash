# Starts, waits for and stops programs of a build tree, and says what failed.
# For the demos: they set `tool`, their name, and source this file. All that they
# started ends with them, also when they fail or are interrupted.

tree=build
keep=false
build=true
patience_s=60
poll_s=0.1
folder=
names=()
pids=()
failures=0
step="preparation"
failed_step=""

# Reads the options of a demo; its head comment is its help.
read_options() {
  while [ $# -gt 0 ]; do
    case "$1" in
      --keep) keep=true ;;
      --no-build) build=false ;;
      --tree)
        if [ $# -lt 2 ]; then
          echo "$tool: --tree takes a build tree" >&2
          exit 2
        fi
        tree=$2
        shift
        ;;
      -h | --help)
        sed -n '2,/^set/{/^set/d;s/^# \{0,1\}//p}' "utilities/$tool"
        exit 0
        ;;
      *)
        echo "$tool: unknown option '$1'; see utilities/$tool --help" >&2
        exit 2
        ;;
    esac
    shift
  done
}

# Makes the folder of settings and logs; from here on, the end is reported.
begin() {
  folder=$(mktemp -d "${TMPDIR:-/tmp}/cuminfold-$tool.XXXXXX")
  set -E
  trap 'report_error $?' ERR
  trap 'finish $?' EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# Installs the packages and builds, unless the options say otherwise.
build_tree() {
  $build || return 0
  say "install and build"
  utilities/install-packages
  echo "building $tree; log: $folder/build.log"
  if ! utilities/build "$tree" > "$folder/build.log" 2>&1; then
    missed "$tree is built" "$folder/build.log"
    exit 1
  fi
  echo "done"
}

say() {
  step=$*
  printf '\n== %s\n' "$*"
}

# Notes a failure: WHAT [LOG_FILE]; shows the end of the log.
missed() {
  failed_step=${failed_step:-$step}
  echo "DID NOT HAPPEN: $1"
  echo "  step: $step"
  if [ -n "${2:-}" ]; then
    echo "  log: $2"
    tail -n 5 "$2" | sed 's/^/  | /'
  fi
  failures=$((failures + 1))
}

# Starts a program: NAME PROGRAM ARGUMENTS...; its output goes to NAME.out and
# NAME.err.
start() {
  local name=$1 path
  path=$(utilities/find-program "$tree" "$2")
  shift 2
  "$path" "$@" > "$folder/$name.out" 2> "$folder/$name.err" &
  names+=("$name")
  pids+=($!)
}

# Polls a command until it succeeds: WHAT COMMAND...
wait_for() {
  local what=$1 end=$((SECONDS + patience_s))
  shift
  until "$@" > /dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      missed "$what within $patience_s s"
      return 1
    fi
    sleep "$poll_s"
  done
}

announced() { grep -c '^listening ' "$folder/$1.out" || true; }

# Starts a server and waits for its lines `listening IP:PORT`:
# NAME LINES PROGRAM ARGUMENTS...
start_server() {
  local name=$1 lines=$2 pid end=$((SECONDS + patience_s))
  shift 2
  start "$name" "$@"
  pid=${pids[-1]}
  until [ "$(announced "$name")" -ge "$lines" ]; do
    if ! kill -0 "$pid" 2> /dev/null; then
      missed "$name listens; it ended before" "$folder/$name.err"
      exit 1
    fi
    if [ "$SECONDS" -ge "$end" ]; then
      missed "$name listens within $patience_s s" "$folder/$name.err"
      exit 1
    fi
    sleep "$poll_s"
  done
}

# The address in a server's line `listening IP:PORT`: NAME [NUMBER]
address_of() {
  sed -n 's/^listening //p' "$folder/$1.out" | sed -n "${2:-1}p"
}

# The process of a started program: NAME
pid_of() {
  local i
  for i in "${!names[@]}"; do
    if [ "${names[$i]}" = "$1" ]; then
      echo "${pids[$i]}"
      return 0
    fi
  done
  echo "$tool: no process '$1'" >&2
  return 1
}

# Waits for the end of a started program that ends by itself: NAME; returns its
# exit status.
await() {
  local i status=0
  for i in "${!pids[@]}"; do
    if [ "${names[$i]}" = "$1" ]; then
      # bash writes about a killed process to stderr.
      { wait "${pids[$i]}" || status=$?; } 2> /dev/null
      unset "pids[$i]" "names[$i]"
      names=("${names[@]}")
      pids=("${pids[@]}")
      return "$status"
    fi
  done
  echo "$tool: no process '$1'" >&2
  return 1
}

# Stops every process by SIGTERM, the last one started first; notes those that
# do not stop cleanly.
stop_all() {
  local i pid end status
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    pid=${pids[$i]}
    end=$((SECONDS + patience_s))
    kill -TERM "$pid" 2> /dev/null || true
    while kill -0 "$pid" 2> /dev/null; do
      if [ "$SECONDS" -ge "$end" ]; then
        kill -KILL "$pid" 2> /dev/null || true
        break
      fi
      sleep "$poll_s"
    done
    status=0
    wait "$pid" 2> /dev/null || status=$?
    if [ "$status" -ne 0 ]; then
      missed "${names[$i]} stops with status 0 (it was $status)" \
        "$folder/${names[$i]}.err"
    fi
  done
  pids=()
  names=()
}

report_error() {
  [ "$BASH_SUBSHELL" -eq 0 ] || return 0
  echo "$tool: '$BASH_COMMAND' failed with status $1 in step '$step'" >&2
}

finish() {
  local status=$1
  trap - EXIT ERR
  trap '' INT TERM
  failed_step=${failed_step:-$step}
  if [ "${#pids[@]}" -ne 0 ]; then
    echo "$tool: stops its ${#pids[@]} processes" >&2
    stop_all > "$folder/stop.log"
  fi
  if [ "$status" -eq 0 ]; then
    rm -rf "$folder"
  else
    echo "$tool: failed in step '$failed_step'" >&2
    echo "  settings and logs: $folder" >&2
  fi
  exit "$status"
}

# Stops everything, or leaves it running for --keep, and judges the run:
# ADDRESSES... are lines for the reader.
end() {
  if $keep; then
    say "left running; stop it with: kill ${pids[*]}"
    printf '%s\n' "$@" "settings and logs: $folder"
    trap - EXIT ERR
  else
    say "stop"
    stop_all
    echo "all processes were stopped by SIGTERM"
  fi
  if [ "$failures" -ne 0 ]; then
    echo "$failures things did not happen"
    exit 1
  fi
  echo "everything happened as it should"
}
