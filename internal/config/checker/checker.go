// Package checker parses and validates the shared configuration document.
//
// The document is INI: sections [DataCentre NAME], [Host NAME], [Runner NAME], [Service NAME],
// [Team NAME], [Worker NAME] and [Limits], with one "Key = Value" per line. Lines that begin with ";"
// or "#" are comments. A section [Worker NAME] serves only to mark a worker as leaving.
package checker

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid means that a document is invalid. The error is a FaultList.
var ErrInvalid = errors.New("invalid configuration document")

// MaxDocumentBytes is the maximum size of a document. A value in the store has at most 1 MiB and also
// contains a header with the revision.
const MaxDocumentBytes = 1<<20 - 4096

// Fault is one error in a document.
type Fault struct {
	// Line counts from 1. It is zero when the fault concerns the document as a whole.
	Line int
	// Section is the text between the brackets. It is empty for a line before the first section.
	Section string
	// Key and Value are empty when the fault concerns a whole section.
	Key   string
	Value string
	// Allowed describes the accepted values, or the rule that is violated.
	Allowed string
}

// Error returns the fault on one line.
func (flt Fault) Error() string {
	var sb strings.Builder
	if flt.Line > 0 {
		fmt.Fprintf(&sb, "line %d: ", flt.Line)
	}
	if flt.Section != "" {
		fmt.Fprintf(&sb, "[%s] ", flt.Section)
	}
	if flt.Key != "" {
		fmt.Fprintf(&sb, "%s = %q: ", flt.Key, flt.Value)
	}
	sb.WriteString(flt.Allowed)
	return sb.String()
}

// FaultList holds all faults of a document in the order of their lines. It is never empty.
type FaultList []Fault

// Error returns one line for each fault.
func (fl FaultList) Error() string {
	lines := make([]string, len(fl))
	for idx, flt := range fl {
		lines[idx] = flt.Error()
	}
	return strings.Join(lines, "\n")
}

// Is reports that a list of faults is ErrInvalid.
func (fl FaultList) Is(target error) bool { return target == ErrInvalid }

// section is one section of a document.
type section struct {
	line int
	// kind is the first word of the header, name the rest.
	kind string
	name string
	keys map[string]entry
	// order lists the keys in the order of the document.
	order []string
	// known holds the keys that sections of this kind may have.
	known map[string]bool
}

// entry is the value of a key and its line.
type entry struct {
	line  int
	value string
}

func (sec *section) header() string {
	if sec.name == "" {
		return sec.kind
	}
	return sec.kind + " " + sec.name
}

// scan splits a document into sections. It doesn't use gopkg.in/ini.v1, which reports no line numbers
// and stops at the first fault.
func scan(document []byte) ([]*section, FaultList) {
	var secs []*section
	var faults FaultList
	var cur *section
	for idx, raw := range bytes.Split(document, []byte("\n")) {
		line, text := idx+1, strings.TrimSpace(string(raw))
		switch {
		case text == "" || text[0] == ';' || text[0] == '#':
		case text[0] == '[':
			sec, ok := scanHeader(text, line)
			cur = sec
			if !ok {
				faults = append(faults, Fault{Line: line, Section: sec.header(), Allowed: "a section is [KIND NAME] or [Limits]"})
				continue
			}
			secs = append(secs, sec)
		default:
			if flt := scanEntry(cur, text, line); flt != nil {
				faults = append(faults, *flt)
			}
		}
	}
	return secs, faults
}

func scanHeader(text string, line int) (*section, bool) {
	inner, ok := strings.CutSuffix(text[1:], "]")
	kind, name, _ := strings.Cut(strings.TrimSpace(inner), " ")
	sec := &section{
		line: line, kind: kind, name: strings.TrimSpace(name),
		keys: map[string]entry{}, known: map[string]bool{},
	}
	return sec, ok && kind != ""
}

func scanEntry(sec *section, text string, line int) *Fault {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if sec == nil {
		return &Fault{Line: line, Key: key, Value: value, Allowed: "keys follow a section header"}
	}
	if !ok || key == "" {
		return &Fault{Line: line, Section: sec.header(), Key: key, Value: value, Allowed: "a line is Key = Value"}
	}
	if old, has := sec.keys[key]; has {
		return &Fault{
			Line: line, Section: sec.header(), Key: key, Value: value,
			Allowed: fmt.Sprintf("a key is set once; it is set on line %d", old.line),
		}
	}
	sec.keys[key] = entry{line: line, value: value}
	sec.order = append(sec.order, key)
	return nil
}
