package commander

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
)

type configCommand struct {
	Get     configGet     `command:"get" description:"print the current or an earlier revision"`
	Check   configCheck   `command:"check" description:"check a document without storing it"`
	Diff    configDiff    `command:"diff" description:"compare a document with a revision"`
	Put     configPut     `command:"put" description:"make a document the next revision"`
	History configHistory `command:"history" description:"list the kept revisions"`
	Status  configStatus  `command:"status" description:"show which revision is in force where"`
}

type documentArg struct {
	File flags.Filename `positional-arg-name:"DOCUMENT" required:"yes" description:"INI file, or - for standard input"`
}

type configGet struct {
	Args struct {
		Revision int64 `positional-arg-name:"REVISION" description:"revision; the current one if missing"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*configGet) Execute([]string) error { return nil }

// run prints only the document to standard output, so that the output can be edited and put back.
// The revision goes to standard error.
func (cm *configGet) run(ctx context.Context, ss *session) error {
	doc, err := ss.document(ctx, cm.Args.Revision)
	if err != nil {
		return err
	}
	if ss.json {
		return ss.printJSON(doc)
	}
	fmt.Fprint(ss.out, doc.Text)
	fmt.Fprintf(ss.errw, "%s: revision %d\n", programName, doc.Revision)
	return nil
}

func (ss *session) document(ctx context.Context, rev int64) (server.Document, error) {
	path := "/v1/config"
	if rev != 0 {
		path += "/history/" + strconv.FormatInt(rev, 10)
	}
	var doc server.Document
	err := ss.get(ctx, path, nil, &doc)
	return doc, err
}

type configCheck struct {
	Args documentArg `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*configCheck) Execute([]string) error { return nil }

func (cm *configCheck) run(ctx context.Context, ss *session) error {
	text, err := readFile(cm.Args.File)
	if err != nil {
		return err
	}
	var ck server.CheckResult
	if err := ss.do(ctx, http.MethodPost, "/v1/config/check", nil, text, &ck); err != nil {
		return err
	}
	if err := ss.show(ck, findingsHeader, findingRows(ck.Findings)); err != nil {
		return err
	}
	for _, fd := range ck.Findings {
		if fd.Severity == "Error" {
			return failf(ExitRefused, "the document has errors; the first is %s: %s", fd.Title, fd.Allowed)
		}
	}
	return nil
}

type configDiff struct {
	Revision int64       `long:"revision" description:"revision to compare with; the current one if missing"`
	Args     documentArg `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*configDiff) Execute([]string) error { return nil }

func (cm *configDiff) run(ctx context.Context, ss *session) error {
	text, err := readFile(cm.Args.File)
	if err != nil {
		return err
	}
	doc, err := ss.document(ctx, cm.Revision)
	if err != nil {
		return err
	}
	lns := diffLines(doc.Text, string(text))
	if ss.json {
		return ss.printJSON(struct {
			Revision modeler.Revision
			Lines    []diffLine
		}{doc.Revision, lns})
	}
	for _, ln := range lns {
		fmt.Fprintf(ss.out, "%s%6d  %s\n", ln.Change, ln.Line, ln.Text)
	}
	return nil
}

type configPut struct {
	Expected int64         `long:"expected" required:"yes" description:"revision that the document is based on, as config get prints it; 0 for the first"`
	Reason   string        `long:"reason" description:"reason, for the audit trail"`
	Wait     bool          `long:"wait" description:"wait until the revision is in force at every live host"`
	WaitFor  time.Duration `long:"wait-limit" default:"30s" description:"longest time to wait with --wait"`
	Args     documentArg   `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*configPut) Execute([]string) error { return nil }

func (cm *configPut) run(ctx context.Context, ss *session) error {
	text, err := readFile(cm.Args.File)
	if err != nil {
		return err
	}
	query := url.Values{"Expected": {strconv.FormatInt(cm.Expected, 10)}}
	setQuery(query, "Reason", cm.Reason)
	var pt server.PutResult
	if err := ss.do(ctx, http.MethodPut, "/v1/config", query, text, &pt); err != nil {
		return err
	}
	if err := ss.show(pt, []string{"Before", "After"}, [][]string{{fmt.Sprint(pt.Before), fmt.Sprint(pt.After)}}); err != nil {
		return err
	}
	if !cm.Wait {
		return nil
	}
	return cm.wait(ctx, ss, pt.After)
}

// pollInterval is the time between two polls of the configuration's status.
const pollInterval = 250 * time.Millisecond

// wait returns nil when the revision is in force at every live host, or an error with
// ExitNotInForce after WaitFor. The change is already accepted, so errors of single polls are
// ignored.
func (cm *configPut) wait(ctx context.Context, ss *session, rev modeler.Revision) error {
	ctx, stop := context.WithTimeout(ctx, cm.WaitFor)
	defer stop()
	tk := time.NewTicker(pollInterval)
	defer tk.Stop()
	behind := "no host has reported"
	for {
		var st server.ConfigurationStatus
		err := ss.get(ctx, "/v1/config/status", nil, &st)
		if err == nil && st.InForce(rev) {
			return nil
		}
		if err == nil {
			behind = firstBehind(st, rev)
		}
		select {
		case <-ctx.Done():
			return failf(ExitNotInForce, "revision %d is not in force everywhere after %s: %s", rev, cm.WaitFor, behind)
		case <-tk.C:
		}
	}
}

func firstBehind(st server.ConfigurationStatus, rev modeler.Revision) string {
	for _, hr := range st.Hosts {
		if hr.Live && hr.Revision < rev {
			return fmt.Sprintf("host %s has revision %d", hr.Host, hr.Revision)
		}
	}
	return "no host is live"
}

type configHistory struct{}

// Execute implements flags.Commander; dispatch calls run instead.
func (*configHistory) Execute([]string) error { return nil }

func (*configHistory) run(ctx context.Context, ss *session) error {
	var chs []server.ConfigurationChange
	if err := ss.get(ctx, "/v1/config/history", nil, &chs); err != nil {
		return err
	}
	var rows [][]string
	for _, ch := range chs {
		rows = append(rows, []string{fmt.Sprint(ch.Revision), formatTime(ch.At, time.UTC), ch.Who})
	}
	return ss.show(chs, []string{"Revision", "At", "Who"}, rows)
}

type configStatus struct{}

// Execute implements flags.Commander; dispatch calls run instead.
func (*configStatus) Execute([]string) error { return nil }

func (*configStatus) run(ctx context.Context, ss *session) error {
	var st server.ConfigurationStatus
	if err := ss.get(ctx, "/v1/config/status", nil, &st); err != nil {
		return err
	}
	var rows [][]string
	for _, hr := range st.Hosts {
		rows = append(rows, []string{string(hr.Host), fmt.Sprint(hr.Revision), yesNo(hr.Live), yesNo(hr.Revision >= st.Revision)})
	}
	return ss.show(st, []string{"Host", "Revision", "Live", "InForce"}, rows)
}

var findingsHeader = []string{"Line", "Section", "Key", "Severity", "Check", "Value", "Allowed"}

func findingRows(fds server.Findings) [][]string {
	var rows [][]string
	for _, fd := range fds {
		rows = append(rows, []string{
			strconv.Itoa(fd.Line), fd.Section, fd.Key, fd.Severity, fmt.Sprintf("%d %s", fd.Number, fd.Title), fd.Value, fd.Allowed,
		})
	}
	return rows
}
