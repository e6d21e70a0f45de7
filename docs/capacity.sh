#!/bin/sh
# Reruns all measurements of docs/CAPACITY.md. Run it from the root of the repository on an
# otherwise idle machine; it takes about six minutes and needs the loopback ports 17400 and 17500
# to 17600. Each part can be run alone by its name: benchmarks, tracker, importer or processes.
set -e
part=${1:-all}

if [ "$part" = all ] || [ "$part" = benchmarks ]; then
	go test -run '^$' -p 1 -benchtime 200ms \
		-bench '^Benchmark(Append|WritesAtStartRate|Recovery|Start|Starts|Report|Pick|Apply|Find|Call|Record|Build|Decode)$' \
		./internal/state/journaler ./internal/batch/placer ./internal/batch/scheduler \
		./internal/request/router ./internal/request/limiter ./internal/request/claimer \
		./internal/request/forwarder ./internal/hours/counter ./internal/hours/publisher \
		./internal/provider/lister
fi
if [ "$part" = all ] || [ "$part" = importer ]; then
	go test -run '^$' -bench '^BenchmarkImport$' -benchtime 3x ./internal/plan/importer
fi
if [ "$part" = all ] || [ "$part" = tracker ]; then
	go test -count 1 -v -run '^TestScale$' ./internal/cluster/tracker
fi
if [ "$part" = all ] || [ "$part" = processes ]; then
	binaries=$(mktemp -d)
	trap 'rm -r "$binaries"' EXIT
	go build -o "$binaries" ./cmd/currantd ./cmd/currantstand
	go run ./cmd/currantbench --binaries "$binaries" --callers 1 --keyed 0 --call-time 900ms --duration 20s
	go run ./cmd/currantbench --binaries "$binaries" --callers 1 --keyed 0 --call-time 900ms --duration 20s --event config
	go run ./cmd/currantbench --binaries "$binaries" --callers 1 --keyed 0 --call-time 900ms --duration 20s --data-centres 11 --hosts 3
	go run ./cmd/currantbench --binaries "$binaries" --callers 1 --keyed 0 --call-time 900ms --duration 45s --data-centres 11 --hosts 3
fi
