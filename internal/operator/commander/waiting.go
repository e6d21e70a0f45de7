package commander

import (
	"context"
	"fmt"
	"strconv"

	"github.com/currantrouter/currantrouter/internal/job/director"
)

type waitingCommand struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the output; --json is short for json"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*waitingCommand) Execute([]string) error { return nil }

func (cm *waitingCommand) run(ctx context.Context, ss *session) error {
	var wg director.Waiting
	if err := ss.get(ctx, "/v1/waiting", nil, &wg); err != nil {
		return err
	}
	if ss.json || cm.Output == "json" {
		return ss.printJSON(wg)
	}
	return printWaiting(ss, &wg)
}

func printWaiting(ss *session, wg *director.Waiting) error {
	fmt.Fprintf(ss.out, "Epoch %d: %d long-running tasks are stalled: they wait although their pool has room for two of them; last look %s ago\n", wg.Epoch, wg.StalledTasks, orDash(wg.LookedAgo))
	if wg.DemandsOmitted > 0 {
		fmt.Fprintf(ss.out, "- The last look left out %d distinct demands, whose tasks do not count as stalled\n", wg.DemandsOmitted)
	}
	if len(wg.Stalled) > 0 {
		rows := make([][]string, len(wg.Stalled))
		for ix, st := range wg.Stalled {
			rows[ix] = []string{st.Task, st.Reason, st.StalledFor, st.Waited, strconv.FormatInt(st.Places, 10), fmt.Sprint(st.LastRun), orDash(string(st.LastWorker))}
		}
		if err := ss.table([]string{"Stalled", "Reason", "StalledFor", "Waited", "Places", "LastRun", "LastWorker"}, rows); err != nil {
			return err
		}
		if omitted := wg.StalledTasks - len(wg.Stalled); omitted > 0 {
			fmt.Fprintf(ss.out, "- and %d more\n", omitted)
		}
	}
	rows := make([][]string, len(wg.Reasons))
	for ix, wr := range wg.Reasons {
		rows[ix] = []string{wr.Reason, strconv.Itoa(wr.Tasks), strconv.Itoa(wr.LongRunning), wr.Oldest, wr.Waited}
	}
	return ss.table([]string{"Reason", "Tasks", "LongRunning", "Oldest", "Waited"}, rows)
}
