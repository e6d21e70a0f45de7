package driver

import (
	"fmt"
	"io"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// report prints the results and returns ErrViolated if an invariant was violated.
func report(out io.Writer, op options, ld *load, orc emulator.OracleAnswer, usage []processUsage, codes map[modeler.HostName]int) error {
	total := outcomeCounts{}
	for _, sec := range ld.seconds {
		for outcome, num := range sec {
			total[outcome] += num
		}
	}
	fmt.Fprintf(out, "event %s, %d hosts, %d runners, %d callers, %s\n", op.Event, len(ld.fleet.hosts), len(ld.fleet.cfg.Runners), op.Callers, op.Duration)
	fmt.Fprintf(out, "outcomes %v\n", total)
	fmt.Fprintf(out, "latency of answered calls: p50 %s, p99 %s, max %s\n", quantile(ld, 50), quantile(ld, 99), quantile(ld, 100))
	for idx, sec := range ld.seconds {
		if sec[modeler.NotRun]+sec[modeler.Unknown] > 0 {
			fmt.Fprintf(out, "second %d: %v\n", idx, sec)
		}
	}
	if ld.fleet.propagationTime > 0 {
		fmt.Fprintf(out, "configuration in force everywhere after %s\n", ld.fleet.propagationTime.Round(time.Millisecond))
	}
	for _, us := range usage {
		fmt.Fprintf(out, "%s: processor time %s, memory %.1f MB, peer bytes %d\n", us.host, us.cpu, float64(us.memory)/(1<<20), us.peerBytes)
	}
	fmt.Fprintf(out, "calls to the store %v\n", orc.Calls)
	violations := findViolations(ld, orc, codes)
	for _, text := range violations {
		fmt.Fprintln(out, "VIOLATION:", text)
	}
	if len(violations) > 0 {
		return ErrViolated
	}
	fmt.Fprintln(out, "all invariants held")
	return nil
}

func quantile(ld *load, percent float64) time.Duration {
	return time.Duration(ld.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// findViolations compares the outcomes that callers received with the executions on the runners and
// returns the violations, including those that the workers recorded.
func findViolations(ld *load, orc emulator.OracleAnswer, codes map[modeler.HostName]int) []string {
	var violations []string
	executed := map[string]int{}
	limits := map[modeler.RunnerName]modeler.Runner{}
	for _, rn := range ld.fleet.cfg.Runners {
		limits[rn.Name] = rn
	}
	for name, ro := range orc.Runners {
		if ro.GreatestCalls > limits[name].Slots || ro.GreatestConnections > limits[name].Connections {
			violations = append(violations, fmt.Sprintf("%s had %d calls and %d connections at once", name, ro.GreatestCalls, ro.GreatestConnections))
		}
		for key, num := range ro.Executions {
			executed[key] += num
		}
	}
	for key, num := range executed {
		if num > 1 {
			violations = append(violations, fmt.Sprintf("key %s was executed %d times", key, num))
		}
	}
	for key, outcome := range ld.outcomes {
		ran := executed[key] > 0
		if outcome == modeler.NotRun && ran || outcome == modeler.Answered && !ran {
			violations = append(violations, fmt.Sprintf("key %s was %s but executed %d times", key, outcome, executed[key]))
		}
	}
	for name, code := range codes {
		if code != 0 {
			violations = append(violations, fmt.Sprintf("%s exited with %d", name, code))
		}
	}
	if ld.mismatched > 0 {
		violations = append(violations, fmt.Sprintf("%d answers belonged to other calls", ld.mismatched))
	}
	return append(violations, orc.Workers.Violations...)
}
