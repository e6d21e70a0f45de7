package checker

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// ErrNoSection means that a document has no section of a kind and name.
var ErrNoSection = errors.New("the document has no such section")

// MarkLeaving returns the document with the key Leaving of a section set to true, or without the
// key. The kind is Host, Runner or Worker. All other lines stay as they are, comments included. A
// section of a worker is added when it is missing. The document must be valid, since a section is
// taken to occur once. Error: ErrNoSection.
func MarkLeaving(document []byte, kind, name string, leaving bool) ([]byte, error) {
	if !modeler.ValidName(name) {
		return nil, fmt.Errorf("[%s %s]: %w", kind, name, ErrNoSection)
	}
	lines := strings.SplitAfter(string(document), "\n")
	at := slices.IndexFunc(lines, func(line string) bool { return isHeader(line, kind, name) })
	switch {
	case at < 0 && kind == "Worker" && leaving:
		return appendWorker(document, name), nil
	case at < 0 && kind == "Worker":
		return document, nil
	case at < 0:
		return nil, fmt.Errorf("[%s %s]: %w", kind, name, ErrNoSection)
	}
	key := leavingKey(lines, at)
	switch {
	case key >= 0 && isTrue(lines[key]) == leaving:
		return document, nil
	case key >= 0:
		lines = slices.Delete(lines, key, key+1)
	}
	switch {
	case leaving:
		lines = insertKey(lines, at)
	case kind == "Worker":
		lines = dropEmpty(lines, at)
	}
	return []byte(strings.Join(lines, "")), nil
}

// dropEmpty removes a section without keys and comments, and the empty line before it. The document
// would otherwise grow with every worker that was ever drained.
func dropEmpty(lines []string, header int) []string {
	end := header + 1
	for end < len(lines) && strings.TrimSpace(lines[end]) == "" {
		end++
	}
	if end < len(lines) && !strings.HasPrefix(strings.TrimSpace(lines[end]), "[") {
		return lines
	}
	if end == len(lines) && header > 0 && strings.TrimSpace(lines[header-1]) == "" {
		header--
	}
	return slices.Delete(lines, header, end)
}

func isHeader(line, kind, name string) bool {
	text := strings.TrimSpace(line)
	if !strings.HasPrefix(text, "[") {
		return false
	}
	sec, ok := scanHeader(text, 0)
	return ok && sec.kind == kind && sec.name == name
}

// leavingKey returns the index of the line with the key Leaving in the section whose header is at
// the index, or -1.
func leavingKey(lines []string, header int) int {
	for idx := header + 1; idx < len(lines); idx++ {
		text := strings.TrimSpace(lines[idx])
		if strings.HasPrefix(text, "[") {
			return -1
		}
		if key, _, ok := strings.Cut(text, "="); ok && strings.TrimSpace(key) == "Leaving" {
			return idx
		}
	}
	return -1
}

func isTrue(line string) bool {
	_, value, _ := strings.Cut(line, "=")
	return strings.TrimSpace(value) == "true"
}

// insertKey adds the key below the header, with the header's line ending.
func insertKey(lines []string, header int) []string {
	end := "\n"
	if strings.HasSuffix(lines[header], "\r\n") {
		end = "\r\n"
	}
	if !strings.HasSuffix(lines[header], "\n") {
		lines[header] += end
	}
	return slices.Insert(lines, header+1, "Leaving = true"+end)
}

func appendWorker(document []byte, name string) []byte {
	var bf bytes.Buffer
	bf.Write(document)
	if len(document) > 0 && document[len(document)-1] != '\n' {
		bf.WriteByte('\n')
	}
	writeSection(&bf, "Worker "+name, "Leaving", "true")
	return bf.Bytes()
}
