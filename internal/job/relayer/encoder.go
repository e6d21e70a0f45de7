package relayer

import (
	"fmt"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// maxDetailBytes bounds the text of an error in a message.
const maxDetailBytes = 200

// runKey identifies a run in a report.
type runKey struct {
	task modeler.TaskID
	run  modeler.Run
}

// reportEncoder encodes the reports of one worker in one session. A run that was in the last report is sent
// without its name, which most of a report would consist of.
type reportEncoder struct {
	last      []modeler.ActiveRun
	positions map[runKey]int
}

// encode returns the message of a report. The reader has to read the messages in the same order.
func (re *reportEncoder) encode(rep *modeler.Report) *messenger.WorkerReport {
	msg := &messenger.WorkerReport{
		Incarnation: rep.Incarnation, LastEnd: rep.LastEnd, MoreEnds: rep.MoreEnds, LeftOut: int64(rep.LeftOut),
		Runs: make([]*messenger.ReportedRun, len(rep.Running)), Ends: make([]*messenger.ReportedEnd, len(rep.Ended)),
	}
	if rep.LeftOutReason != nil {
		msg.LeftOutReason = []byte(truncate(rep.LeftOutReason.Error()))
	}
	rows := make([]messenger.ReportedRun, len(rep.Running))
	for ix := range rep.Running {
		run, row := &rep.Running[ix], &rows[ix]
		row.Progress, row.Measure = int64(run.Progress), run.Measure
		if px, ok := re.positions[runKey{run.Task, run.Run}]; ok {
			row.Previous = int64(px + 1)
			if re.last[px].Checkpoint != run.Checkpoint {
				row.Checkpoint = []byte(run.Checkpoint)
			}
		} else {
			row.Task, row.Run, row.Checkpoint = []byte(run.Task.String()), int64(run.Run), []byte(run.Checkpoint)
		}
		msg.Runs[ix] = row
	}
	for ix := range rep.Ended {
		end := &rep.Ended[ix]
		msg.Ends[ix] = &messenger.ReportedEnd{
			Number: end.Number, Task: []byte(end.Task.String()), Run: int64(end.Run), Outcome: string(end.Outcome), Checkpoint: []byte(end.Checkpoint),
		}
	}
	re.last, re.positions = rep.Running, make(map[runKey]int, len(rep.Running))
	for ix := range rep.Running {
		re.positions[runKey{rep.Running[ix].Task, rep.Running[ix].Run}] = ix
	}
	return msg
}

// reportDecoder decodes what a reportEncoder encodes.
type reportDecoder struct {
	last []modeler.ActiveRun
}

// decode returns the report in a message. Errors: ErrInvalidMessage.
func (rd *reportDecoder) decode(msg *messenger.WorkerReport, clock time.Duration) (modeler.Report, error) {
	rep := modeler.Report{
		Clock: clock, Incarnation: msg.Incarnation, LastEnd: msg.LastEnd, MoreEnds: msg.MoreEnds, LeftOut: int(msg.LeftOut),
		Running: make([]modeler.ActiveRun, len(msg.Runs)), Ended: make([]modeler.EndedRun, len(msg.Ends)),
	}
	if rep.LeftOut > 0 {
		rep.LeftOutReason = fmt.Errorf("relayed: %.*s", maxDetailBytes, msg.LeftOutReason)
	}
	for ix, row := range msg.Runs {
		run := &rep.Running[ix]
		if row.GetPrevious() < 0 || row.GetPrevious() > int64(len(rd.last)) {
			return modeler.Report{}, fmt.Errorf("%w: run %d of %d", ErrInvalidMessage, row.GetPrevious(), len(rd.last))
		}
		if row.GetPrevious() > 0 {
			*run = rd.last[row.Previous-1]
		} else {
			task, err := modeler.ParseTaskID(string(row.GetTask()))
			if err != nil {
				return modeler.Report{}, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
			}
			run.Task, run.Run = task, modeler.Run(row.GetRun())
		}
		if len(row.GetCheckpoint()) > 0 {
			run.Checkpoint = string(row.Checkpoint)
		}
		run.Progress, run.Measure = int(row.GetProgress()), row.GetMeasure()
	}
	for ix, row := range msg.Ends {
		task, err := modeler.ParseTaskID(string(row.GetTask()))
		if err != nil {
			return modeler.Report{}, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
		}
		rep.Ended[ix] = modeler.EndedRun{Number: row.GetNumber(), Task: task, Run: modeler.Run(row.GetRun()), Outcome: modeler.Outcome(row.GetOutcome()), Checkpoint: string(row.GetCheckpoint())}
	}
	if err := rep.Check(); err != nil {
		return modeler.Report{}, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	rd.last = rep.Running
	return rep, nil
}

// truncate shortens the text of an error for a message.
func truncate(text string) string { return text[:min(len(text), maxDetailBytes)] }
