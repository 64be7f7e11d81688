// Package bench measures the overhead of the proxy per statement: throughput, latency, CPU
// time and allocations through one node (the owner) and through two nodes (an entry node and
// the owner), compared with a direct connection to the same target stand-in, which responds
// without delay.
//
// It holds only benchmarks. They start real processes, and nothing runs without -bench:
//
//	go test ./internal/bench -run '^$' -bench . -benchtime 2s -count 5
package bench
