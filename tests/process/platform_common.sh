# Sourced by the process tests of the programs that run on the platform.
# Expects the folder of those programs as the test's first argument and `base`
# as the first of nine hundred free ports.
platform_bin=$1
. "$(dirname "${BASH_SOURCE[0]}")/common.sh" "$@"
. "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/platform_cluster.sh"

# The number behind a name in a line that a load prints.
value_of() { # name line
  sed -n "s/.* $1[ =]\([0-9]*\).*/\1/p" <<<" $2"
}
