#!/usr/bin/env bash
# Plays a group of 16 ranks, one of which goes down and up, and a final fault that ends all
# entries. Exits with 1 if less than a quarter of the requests is served after the recovery, 0
# if not, and 2 if the case couldn't run. TROUBLE=0 plays the final fault alone.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig ] && [ -x target/banyanplank-entry ] || exit 2
exec target/rig flaps review/7
