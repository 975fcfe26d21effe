#!/usr/bin/env bash
# Signals that come while a process starts, after it has read its settings and
# its log and before it serves: a reload is carried out once it can be, and a
# stop ends the process with 0. The order is forced by hold_at_bind.
base=18960
. "$(dirname "$0")/platform_common.sh" "$@"
hold_at_bind=$2
hold_file="$run/hold"

# Starts a process that stays at its first call of bind, and waits for that.
start_held() { # function arguments...
  rm -f "$hold_file.reached"
  touch "$hold_file"
  LD_PRELOAD=$hold_at_bind HEATHTRESTLE_HOLD_FILE=$hold_file "$@"
  wait_until 100 test -e "$hold_file.reached" || fail "$* did not come to bind"
}

logged() { # name text
  grep -q "$2" "$run/$1.out"
}

# Ends a process and forgets what it wrote.
clear_away() { # name
  end_process "$1" KILL
  wait "${pid_of[$1]}" 2>/dev/null || true
  : >"$run/$1.out"
}

expect_late_reload() { # name text
  end_process "$1" HUP
  rm "$hold_file"
  wait_until 100 logged "$1" "$2" || fail "$1 did not reload after an early SIGHUP"
  kill -0 "${pid_of[$1]}" || fail "$1 ended by an early SIGHUP"
}

expect_stop() { # name
  end_process "$1" TERM
  rm "$hold_file"
  wait "${pid_of[$1]}" || fail "$1 ended with $? by an early SIGTERM"
  logged "$1" '"name":"daemon_stopped"' || fail "$1 did not log its end"
}

start_platform_cluster

settings="$run/gateway.toml"
write_settings() { printf '[log]\nlevel = "%s"\n' "$1" >"$settings"; }

clear_away gateway-2
write_settings info
start_held start_gateway 2 --config "$settings"
write_settings warning
expect_late_reload gateway-2 '"log_level_before":"info","log_level":"warning"'
wait_until 100 gateway_is_ready 2 || fail "the gateway does not serve after an early SIGHUP"

clear_away gateway-2
start_held start_gateway 2
expect_stop gateway-2

clear_away storage-3
start_held start_storage 3 false
expect_late_reload storage-3 '"name":"settings_reloaded"'
wait_until 100 group_is_whole || fail "the group is not whole after an early SIGHUP"

clear_away storage-3
start_held start_storage 3 false
expect_stop storage-3
echo "1 passed, 0 failed"
