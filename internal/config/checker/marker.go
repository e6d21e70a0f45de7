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

// MarkLeaving returns the document with Leaving = true added to a section, or with the key Leaving
// removed from it. The kind is Host, Runner or Worker. All other lines, including comments, are
// unchanged. A missing section of a worker is added. The document must be valid, because only the
// first section with the kind and name is changed. Error: ErrNoSection.
func MarkLeaving(document []byte, kind, name string, leaving bool) ([]byte, error) {
	if !modeler.ValidName(name) {
		return nil, fmt.Errorf("[%s %s]: %w", kind, name, ErrNoSection)
	}
	lines := strings.SplitAfter(string(document), "\n")
	header := slices.IndexFunc(lines, func(line string) bool { return isHeader(line, kind, name) })
	switch {
	case header < 0 && kind == "Worker" && leaving:
		return appendWorker(document, name), nil
	case header < 0 && kind == "Worker":
		return document, nil
	case header < 0:
		return nil, fmt.Errorf("[%s %s]: %w", kind, name, ErrNoSection)
	}
	key := leavingKey(lines, header)
	switch {
	case key >= 0 && isTrue(lines[key]) == leaving:
		return document, nil
	case key >= 0:
		lines = slices.Delete(lines, key, key+1)
	}
	switch {
	case leaving:
		lines = insertKey(lines, header)
	case kind == "Worker":
		lines = removeEmptySection(lines, header)
	}
	return []byte(strings.Join(lines, "")), nil
}

// removeEmptySection removes a section without keys and comments, and the empty line before it.
// Otherwise the document would grow with every worker that was ever drained.
func removeEmptySection(lines []string, header int) []string {
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

// leavingKey returns the index of the line with the key Leaving in the section with the given header
// line, or -1.
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

// insertKey adds Leaving = true below the header, with the line ending of the header.
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
