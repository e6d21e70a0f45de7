package commander

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

type traceCommand struct {
	Args struct {
		ID   string           `positional-arg-name:"ID" required:"yes" description:"identity of a job or task, or a host, worker or queue"`
		Logs []flags.Filename `positional-arg-name:"LOG" description:"logs of hosts; standard input when there is none"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*traceCommand) Execute([]string) error { return nil }

func (*traceCommand) local() {}

func (cm *traceCommand) run(_ context.Context, ss *session) error {
	var lines []logLine
	for _, name := range cm.Args.Logs {
		file, err := os.Open(string(name))
		if err != nil {
			return failf(ExitUsage, "%w", err)
		}
		found, err := readTrace(file, string(name), cm.Args.ID)
		_ = file.Close()
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(cm.Args.Logs) == 0 {
		found, err := readTrace(os.Stdin, "-", cm.Args.ID)
		if err != nil {
			return err
		}
		lines = found
	}
	sortLines(lines)
	if len(lines) == 0 {
		return failf(ExitNotFound, "no line names %q", cm.Args.ID)
	}
	if ss.json {
		docs := make([]map[string]any, len(lines))
		for ix, ln := range lines {
			docs[ix] = ln.fields
		}
		return ss.printJSON(docs)
	}
	rows := make([][]string, len(lines))
	for ix, ln := range lines {
		rows[ix] = []string{ln.at.Format("15:04:05.000"), ln.source, fmt.Sprint(ln.fields["Event"]), fmt.Sprint(ln.fields["msg"]), ln.details()}
	}
	return ss.table([]string{"TIME", "LOG", "EVENT", "WHAT", "INPUTS"}, rows)
}

// logLine is a log line that mentions the traced ID.
type logLine struct {
	at     time.Time
	source string
	// number is the line number, from 0. It orders lines of the same log, because the host's clock
	// may step back.
	number int
	fields map[string]any
}

// details returns the fields that are specific to the event, sorted by name.
func (ln *logLine) details() string {
	var parts []string
	for key, value := range ln.fields {
		switch key {
		case "time", "level", "msg", "Event", "Severity":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// readTrace returns the lines of a log that mention the ID, or the ID of a part, such as a task,
// which has the ID and a dot as prefix. If there is text before the first brace, which log
// collectors add, its last word replaces source.
func readTrace(rd io.Reader, source, id string) ([]logLine, error) {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLineBytes)
	var lines []logLine
	for number := 0; sc.Scan(); number++ {
		text := sc.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		ln := logLine{source: source, number: number}
		de := json.NewDecoder(bytes.NewReader(text[start:]))
		de.UseNumber()
		// Skip truncated lines and lines of other programs.
		if de.Decode(&ln.fields) != nil || !mentions(ln.fields, id) {
			continue
		}
		stamp, _ := ln.fields["time"].(string)
		ln.at, _ = time.Parse(time.RFC3339Nano, stamp)
		if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
			ln.source = prefix[len(prefix)-1]
		}
		lines = append(lines, ln)
	}
	return lines, sc.Err()
}

// mentions reports whether a field is the ID, or has the ID and a dot as prefix, as the IDs of tasks
// have.
func mentions(fields map[string]any, id string) bool {
	for _, value := range fields {
		if text, ok := value.(string); ok && (text == id || strings.HasPrefix(text, id+".")) {
			return true
		}
	}
	return false
}

// sortLines sorts lines by time but keeps the order within each log: if a host's clock stepped
// back, its lines count as no earlier than the previous one.
func sortLines(lines []logLine) {
	latest := map[string]time.Time{}
	for ix := range lines {
		if last := latest[lines[ix].source]; lines[ix].at.Before(last) {
			lines[ix].at = last
		}
		latest[lines[ix].source] = lines[ix].at
	}
	slices.SortStableFunc(lines, func(one, two logLine) int {
		if one.source == two.source {
			return cmp.Compare(one.number, two.number)
		}
		return one.at.Compare(two.at)
	})
}
