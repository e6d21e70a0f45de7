package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line. Longer lines are skipped.
const maxLineBytes = 1 << 20

// Fields are the keys and values of a log line.
type Fields map[string]any

// Event returns the number of the event, or 0 if the line has none.
func (fs Fields) Event() int {
	num, _ := fs["Event"].(json.Number)
	number, _ := num.Int64()
	return int(number)
}

// Title returns the title of the event.
func (fs Fields) Title() string { return fs.text("msg") }

// text returns a value that is text, or "".
func (fs Fields) text(key string) string {
	text, _ := fs[key].(string)
	return text
}

// Inputs returns the fields that are specific to the event, sorted by name.
func (fs Fields) Inputs() string {
	var parts []string
	for key, value := range fs {
		switch key {
		case "time", "level", "msg", "Event", "Severity":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// name reports whether a field is the ID, or has the ID and a dot as prefix, as the IDs of tasks have.
func (fs Fields) name(id string) bool {
	for _, value := range fs {
		if text, ok := value.(string); ok && (text == id || strings.HasPrefix(text, id+".")) {
			return true
		}
	}
	return false
}

// Read reads a log of one or several hosts. If there is text before the first brace of a line, which log
// collectors add, its last word is the host; the host of other lines is the name of the log. Malformed lines
// are skipped and counted. Errors: those of rd.
func (ex *Explainer) Read(rd io.Reader, name string) error {
	br := bufio.NewReader(rd)
	sk := Skipped{Log: name}
	for number := 1; ; number++ {
		text, long, err := readLine(br)
		if len(text) > 0 && (long || !ex.addText(text, name)) {
			if sk.Lines++; sk.First == 0 {
				sk.First = number
			}
		}
		if err == nil {
			continue
		}
		if sk.Lines > 0 {
			ex.skipped = append(ex.skipped, sk)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		return fmt.Errorf("reading %s: %w", name, err)
	}
}

// readLine returns the next line without surrounding space, and whether it is longer than maxLineBytes. It
// keeps nothing of such a line beyond that.
func readLine(br *bufio.Reader) (line []byte, long bool, err error) {
	for {
		part, err := br.ReadSlice('\n')
		if len(line)+len(part) > maxLineBytes {
			long = true
			part = part[:min(len(part), maxLineBytes-len(line))]
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return bytes.TrimSpace(line), long, err
		}
	}
}

// addText parses a line and takes note of it. It returns false if the line is malformed.
func (ex *Explainer) addText(text []byte, host string) bool {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return false
	}
	var fields Fields
	de := json.NewDecoder(bytes.NewReader(text[start:]))
	de.UseNumber()
	if de.Decode(&fields) != nil {
		return false
	}
	at, err := time.Parse(time.RFC3339Nano, fields.text("time"))
	if err != nil || fields.Event() == 0 {
		return false
	}
	if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
		host = prefix[len(prefix)-1]
	}
	ex.add(host, at, fields)
	return true
}
