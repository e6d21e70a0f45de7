package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
)

// drainByCommand sends an operator's drain command to a host.
func (fl *fleet) drainByCommand(mb *member, kind, name string, undo bool) {
	fl.t.Helper()
	body := `{"Kind":"` + kind + `","Name":"` + name + `","Reason":"test","Undo":`
	if undo {
		body += "true}"
	} else {
		body += "false}"
	}
	var dr server.Drain
	fl.operators(mb, http.MethodPost, "/v1/drain", body, &dr)
}

// readiness returns the status of a host's readiness check.
func (fl *fleet) readiness(mb *member) int {
	fl.t.Helper()
	rs, err := fl.client(mb).Get("http://" + mb.callers.String() + "/readyz")
	qt.Assert(fl.t, err, qt.IsNil)
	defer rs.Body.Close()
	return rs.StatusCode
}

// calls returns the number of calls that each runner has executed.
func (fl *fleet) calls() map[modeler.RunnerName]int {
	nums := map[modeler.RunnerName]int{}
	for name, rn := range fl.runners {
		for _, num := range rn.Oracle().Executions {
			nums[name] += num
		}
	}
	return nums
}

// Guards against new work on a drained host, runner or worker after 3 s, against a drained host
// that exits or stops serving operators, and against a drain that cannot be withdrawn.
func TestDrainByCommand(t *testing.T) {
	t.Run("runner", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 2, 3)
			fl.start()
			const name = "dc-0-runner-1"
			fl.drainByCommand(fl.member(3), "Runner", name, false)
			time.Sleep(3 * time.Second)
			before := fl.calls()
			counts := fl.checkAnswers(fl.load(8, 3*time.Second))
			qt.Check(t, counts[modeler.Answered] > 0 && counts[modeler.Unknown] == 0, qt.IsTrue, qt.Commentf("%v", counts))
			qt.Check(t, fl.calls()[name], qt.Equals, before[name])
			fl.drainByCommand(fl.member(0), "Runner", name, true)
			time.Sleep(3 * time.Second)
			fl.checkAnswers(fl.load(8, 3*time.Second))
			qt.Check(t, fl.calls()[name] > before[name], qt.IsTrue)
			fl.end()
		})
	})
	t.Run("host", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 2, 2)
			fl.start()
			// The drained host is the leader of its data centre, so the leadership must move.
			leading := fl.leading("dc-0")
			drained, other := fl.member(leading), fl.member(1-leading)
			fl.drainByCommand(other, "Host", string(drained.host.Name), false)
			time.Sleep(3 * time.Second)
			qt.Check(t, fl.readiness(drained), qt.Equals, http.StatusServiceUnavailable)
			got := fl.call(drained, http.MethodPost, "/plans?RunTime=20ms", "", "")
			qt.Check(t, got.outcome, qt.Equals, modeler.NotRun)
			time.Sleep(3 * time.Second)
			qt.Check(t, fl.leading("dc-0"), qt.Equals, 1-leading)
			for num := range 20 {
				got = fl.call(fl.member(num%2*2+1-leading), http.MethodPost, "/plans?RunTime=20ms", "", "")
				qt.Check(t, got.outcome, qt.Equals, modeler.Answered, qt.Commentf("%+v", got))
			}
			// The drained process still serves operators.
			fl.drainByCommand(drained, "Host", string(drained.host.Name), true)
			time.Sleep(3 * time.Second)
			qt.Check(t, fl.readiness(drained), qt.Equals, http.StatusNoContent)
			got = fl.call(drained, http.MethodPost, "/plans?RunTime=20ms", "", "")
			qt.Check(t, got.outcome, qt.Equals, modeler.Answered)
			fl.end()
		})
	})
	t.Run("worker", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 1, 1)
			fl.start()
			fl.drainByCommand(fl.member(0), "Worker", "dc-0-worker-1", false)
			time.Sleep(3 * time.Second)
			fl.importPlan(8)
			// The plan is read every 2 s, and the emulated tasks run for 10 s.
			time.Sleep(5 * time.Second)
			qt.Check(t, fl.tasksOn("dc-0-worker-1"), qt.Equals, 0)
			qt.Check(t, fl.tasksOn("dc-0-worker-0"), qt.Equals, 8)
			fl.end()
		})
	})
	t.Run("unknown names", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 1, 1)
			fl.start()
			mb := fl.member(0)
			for _, kind := range []string{"Host", "Runner", "Worker"} {
				got := fl.post(mb, "/v1/drain", `{"Kind":"`+kind+`","Name":"nobody","Reason":"test"}`)
				qt.Check(t, got, qt.Equals, http.StatusNotFound)
			}
			qt.Check(t, fl.revision(mb), qt.Equals, modeler.Revision(1))
			fl.end()
		})
	})
}

// Guards against operators' statements that do not reach the leader of another data centre, and
// against a configuration history that lacks the time or the operator or differs between hosts.
func TestStatementsAndHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 1)
		fl.start()
		fl.importPlan(2)
		// The tasks begin within 3 s and take 10 s.
		time.Sleep(5 * time.Second)
		var job string
		for _, jb := range fl.jobs(fl.member(0)) {
			if jb.DataCentre == "dc-1" {
				job = jb.ID
			}
		}
		// An operator cannot resolve a running task.
		qt.Check(t, fl.post(fl.member(0), "/v1/tasks/resolve", `{"Job":"`+job+`","Task":0,"RunAgain":true,"Reason":"test"}`), qt.Equals, http.StatusNotFound)
		qt.Check(t, fl.post(fl.member(0), "/v1/workers/gone", `{"Worker":"nobody","Reason":"test"}`), qt.Equals, http.StatusNotFound)
		// Tasks that are not repeatable become Unknown when their worker is gone.
		for num := range 2 {
			body := fmt.Sprintf(`{"Worker":"dc-1-worker-%d","Reason":"test"}`, num)
			qt.Check(t, fl.post(fl.member(0), "/v1/workers/gone", body), qt.Equals, http.StatusOK)
		}
		time.Sleep(time.Second)
		for task := range 2 {
			body := fmt.Sprintf(`{"Job":%q,"Task":%d,"Reason":"test"}`, job, task)
			qt.Check(t, fl.post(fl.member(1), "/v1/tasks/resolve", body), qt.Equals, http.StatusOK)
		}
		for _, jb := range fl.jobs(fl.member(0)) {
			want := map[modeler.DataCentreName]string{"dc-0": "Running", "dc-1": "Done"}[jb.DataCentre]
			qt.Check(t, jb.State, qt.Equals, want)
		}
		fl.drainByCommand(fl.member(0), "Runner", "dc-0-runner-0", false)
		for idx := range fl.members {
			var chs []server.ConfigurationChange
			fl.operators(fl.member(idx), http.MethodGet, "/v1/config/history", "", &chs)
			qt.Assert(t, chs, qt.HasLen, 2)
			qt.Check(t, chs[0], qt.Equals, server.ConfigurationChange{Revision: 2, At: time.Now().UTC().Truncate(time.Second), Who: "insecure"})
		}
		fl.end()
	})
}

// post sends a command and returns the status of the answer.
func (fl *fleet) post(mb *member, path, body string) int {
	fl.t.Helper()
	rs, err := fl.client(mb).Post("http://"+mb.operators.String()+path, "application/json", strings.NewReader(body))
	qt.Assert(fl.t, err, qt.IsNil)
	defer rs.Body.Close()
	return rs.StatusCode
}

// leading returns the index of the member that leads a data centre.
func (fl *fleet) leading(dc modeler.DataCentreName) int {
	fl.t.Helper()
	found := -1
	for idx, mb := range fl.members {
		var hosts []server.Host
		if mb.host.DataCentre != dc {
			continue
		}
		fl.operators(mb, http.MethodGet, "/v1/hosts", "", &hosts)
		for _, hst := range hosts {
			if hst.Leading && hst.Name == mb.host.Name {
				found = idx
			}
		}
	}
	qt.Assert(fl.t, found >= 0, qt.IsTrue)
	return found
}

// tasksOn returns the number of tasks that are placed on a worker.
func (fl *fleet) tasksOn(name string) int {
	fl.t.Helper()
	var list server.Tasks
	fl.operators(fl.member(0), http.MethodGet, "/v1/tasks?Worker="+name, "", &list)
	qt.Check(fl.t, list.Unreachable, qt.HasLen, 0)
	return len(list.Tasks)
}
