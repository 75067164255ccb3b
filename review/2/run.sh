#!/bin/sh
# Case 2. TROUBLE=0 plays it without the disruption.
exec sh "$(dirname "$0")/../common/run.sh" "$(dirname "$0")"
