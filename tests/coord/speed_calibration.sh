#!/usr/bin/env bash
# Guards against a comparison of expected and observed speeds that counts runs
# wrong: a run that has not ended, one that is no best-effort run, a relocated
# one, and a log of two processes that both tell of the end of a run.
set -euo pipefail
tool=$1
out=$("$tool" - <<'LOG'
 0.1 e1 time=t level=info task=sync peer=a1 request=aa msg="event=run_ordered step=0 index=0 run=1 waited_ms=0 commit_ms=8 expected=1.00 first=1.00 usage=0.20 unknown=0 sample_ms=90"
 0.1 a1 time=t level=info task=runner peer=- request=aa msg="event=run_starting step=0 index=0 run=1 term=1 grant_ms=2498"
 0.1 e1 time=t level=info task=sync peer=a1 request=aa msg="event=run_ordered step=0 index=1 run=1 waited_ms=0 commit_ms=8 expected=0.95 first=0.40 usage=0.20 unknown=1 sample_ms=1000"
 0.1 a1 time=t level=info task=runner peer=- request=aa msg="event=run_starting step=0 index=1 run=1 term=1 grant_ms=2498"
 0.1 e1 time=t level=info task=sync peer=a2 request=aa msg="event=run_ordered step=0 index=2 run=1 waited_ms=0 commit_ms=8 expected=0.60 first=0.60 usage=0.70 unknown=0 sample_ms=90"
 0.1 e1 time=t level=info task=sync peer=a2 request=bb msg="event=run_ordered step=0 index=0 run=1 waited_ms=0 commit_ms=8"
 0.9 e1 time=t level=info task=share peer=a1 request=aa msg="event=moved step=0 index=1 run=1 pace=0 percent=30 slow_ms=1000 expected=1.00"
 0.9 a1 time=t level=info task=runner peer=- request=aa msg="event=run_ended step=0 index=1 run=1 how=2 seq=1 tries=1 age_ms=1500"
 0.9 e1 time=t level=info task=sync peer=a1 request=aa msg="event=run_ended step=0 index=1 run=1 how=2 ran_ms=1500 unwanted=1 failures=0 speed=0.25 percent=30 stills=1 still_ms=1000"
 0.9 e1 time=t level=info task=sync peer=a2 request=bb msg="event=run_ended step=0 index=0 run=1 how=0 ran_ms=523 unwanted=0 failures=0"
 1.9 e1 time=t level=info task=sync peer=a1 request=aa msg="event=run_ended step=0 index=0 run=1 how=0 ran_ms=1500 unwanted=0 failures=0 speed=0.75 percent=90 stills=0 still_ms=0"
LOG
)
expected='starts 2, relocations 1, mean time at low speed before one 1000 ms, 0 below 600 ms
expected speed         runs  expected  speed  relocated  stood still  ms each time
0.9 to 1.0                2      0.97   0.50      0.500     0.500          1000
all                       2      0.97   0.50      0.500     0.500          1000
first 0.3 s < 0.5         1      0.95   0.25      1.000     1.000          1000
unknown pairs             1      0.95   0.25      1.000     1.000          1000
report > 450 ms old       1      0.95   0.25      1.000     1.000          1000'
diff <(echo "$expected") <(echo "$out")
echo "speed_calibration: as expected"
