#!/usr/bin/env bash
# Case 5; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/pistachio-entryd ] || [ ! -x target/review/review-cases ]; then
  echo "build with the deploy file's command and review/build.sh first"
  exit 2
fi
export TROUBLE=${TROUBLE:-1}
exec target/review/review-cases 5 review/5/record.txt
