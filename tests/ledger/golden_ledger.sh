#!/bin/sh
# Runs `stoatrun ledger` on golden folders and compares its outputs, exports and exit codes with golden files.
# Fails on any differing byte.
set -u
relay=$1
golden=$2
outputs=$golden/ledger/outputs
. "$(dirname "$0")/../golden.sh"

cp -r "$golden/ledger/n0" "$golden/ledger/n1" "$work"
cd "$work" || exit 1  # Messages name files as given: with relative paths.
ledger() { # ledger NAME ARGUMENT...
  name=$1; shift
  run "$name" "$relay" ledger "$@"
}
export_records() { # export_records NAME FOLDER FILE [ARGUMENT...]
  name=$1; folder=$2; file=$3; shift 3
  ledger "$name" export --folder "$folder" --out "$file" "$@"
  cp "$file" "outputs/$(basename "$file")" || fail "$file: no export"
}

for format in table json csv; do
  ledger show-n0-$format show --folder n0 --format $format
  ledger show-n1-$format show --folder n1 --format $format
  ledger verify-n0-$format verify --folder n0 --format $format
done
ledger show-period show --folder n0 --period 2027-01-15T09:00:00Z
ledger show-period-unix show --folder n0 --period 1800000000 --group wetland --format csv
ledger show-group show --folder n0 --group reef
ledger show-bad-period show --folder n0 --period yesterday
ledger show-no-ledger show --folder .
ledger show-no-folder show
printf 'ledger { folder: "%s/n0" }\n' "$work" >operator.txtpb
ledger show-operator-file show --operator operator.txtpb --group coast

mkdir exports parts
export_records export-n0 n0 exports/n0.jsonl
export_records export-n1 n1 exports/n1.jsonl
export_records export-since n0 parts/n0-since-5.jsonl --since 5
export_records export-nothing n0 parts/n0-nothing.jsonl --since 99
ledger export-into-nowhere export --folder n0 --out none/n0.jsonl
# The temporary file's name contains the process id.
sed -i 's/\.[0-9]*\.part/.NUMBER.part/' outputs/export-into-nowhere.txt
ledger reconcile-without-fault reconcile exports/n0.jsonl
for format in table json csv; do
  ledger reconcile-$format reconcile exports --format $format --threads 2
done
ledger reconcile-twice reconcile exports exports/n0.jsonl parts/n0-since-5.jsonl --threads 1
ledger reconcile-part reconcile parts/n0-since-5.jsonl --format csv
sed 's/wetland/wetlamd/' exports/n0.jsonl >parts/changed.jsonl
sed '4d' exports/n1.jsonl >parts/gap.jsonl
sed '$d' exports/n1.jsonl >parts/cut.jsonl
echo 'no export' >parts/other.jsonl
for file in changed gap cut other; do
  for format in table json csv; do
    ledger reconcile-$file-$format reconcile parts/$file.jsonl --format $format
  done
done

correct() { # correct NAME ARGUMENT...
  name=$1; shift
  ledger "$name" correct --folder n0 --reason 'a "late" report' --by cy "$@"
}
correct correct-open --group coast --period 1800007200 --seconds 1
correct correct-unknown --group coast --period 60 --seconds 1
correct correct-bad-period --group coast --period yesterday --seconds 1
correct correct-reference-again --group coast --period 1800000000 --seconds 1 --ref ref-1
correct correct --group coast --period 2027-01-15T08:00:00Z --seconds -7 --ref ref-2
ledger show-corrected show --folder n0
ledger verify-corrected verify --folder n0

printf 'X' | dd of=n1/ledger.db bs=1 seek=5000 conv=notrunc 2>dd.txt || fail "$(cat dd.txt)"
for format in table json csv; do
  ledger verify-damaged-$format verify --folder n1 --format $format
done
ledger show-damaged show --folder n1
compare
