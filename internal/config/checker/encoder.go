package checker

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Encode returns a document that Parse turns into the same configuration. It has no revision.
func Encode(cfg *modeler.Configuration) []byte {
	var bf bytes.Buffer
	for _, dc := range cfg.DataCentres {
		writeSection(&bf, "DataCentre "+string(dc))
	}
	for _, hst := range cfg.Hosts {
		writeSection(&bf, "Host "+string(hst.Name),
			"DataCentre", string(hst.DataCentre),
			"Peer", hst.Peer.String(),
			"Retired", strconv.FormatBool(hst.Retired),
			"Leaving", strconv.FormatBool(hst.Leaving))
	}
	for _, svc := range cfg.Services {
		writeSection(&bf, "Service "+string(svc.Name),
			"CallLimit", svc.CallLimit.String(),
			"Deadline", svc.Deadline.String(),
			"Repeatable", strconv.FormatBool(svc.Repeatable),
			"QueueLimit", strconv.Itoa(svc.QueueLimit),
			"BodyLimit", strconv.FormatInt(svc.BodyLimit, 10))
	}
	for _, rnr := range cfg.Runners {
		writeSection(&bf, "Runner "+string(rnr.Name),
			"DataCentre", string(rnr.DataCentre),
			"Service", string(rnr.Service),
			"Endpoint", rnr.Endpoint.String(),
			"Slots", strconv.Itoa(rnr.Slots),
			"Connections", strconv.Itoa(rnr.Connections),
			"Leaving", strconv.FormatBool(rnr.Leaving))
	}
	for _, tm := range cfg.Teams {
		writeSection(&bf, "Team "+tm.Name, "Quota", formatFraction(tm.Quota))
	}
	for _, name := range cfg.LeavingWorkers {
		writeSection(&bf, "Worker "+string(name), "Leaving", "true")
	}
	writeSection(&bf, "Limits",
		"HoldersPerRunner", strconv.Itoa(cfg.Limits.HoldersPerRunner),
		"WritesPerSecond", strconv.Itoa(cfg.Limits.WritesPerSecond),
		"ShortReserve", formatFraction(cfg.Limits.ShortReserve),
		"LeaseTerm", cfg.Limits.LeaseTerm.String())
	return bf.Bytes()
}

func writeSection(bf *bytes.Buffer, header string, pairs ...string) {
	if bf.Len() > 0 {
		bf.WriteByte('\n')
	}
	fmt.Fprintf(bf, "[%s]\n", header)
	for idx := 0; idx < len(pairs); idx += 2 {
		fmt.Fprintf(bf, "%s = %s\n", pairs[idx], pairs[idx+1])
	}
}

func formatFraction(num float64) string { return strconv.FormatFloat(num, 'g', -1, 64) }

// Diff returns the differences between two documents with one line for each section or key: "-" for
// what only the first has and "+" for what only the second has. It ignores comments and the order of
// sections and keys. It is empty when there are no differences.
func Diff(from, to []byte) string {
	before, _ := scan(from)
	after, _ := scan(to)
	var sb strings.Builder
	later := byHeader(after)
	for _, sec := range before {
		diffSection(&sb, sec, later[sec.header()])
	}
	earlier := byHeader(before)
	for _, sec := range after {
		if earlier[sec.header()] == nil {
			diffSection(&sb, nil, sec)
		}
	}
	return sb.String()
}

func byHeader(secs []*section) map[string]*section {
	idx := make(map[string]*section, len(secs))
	for _, sec := range secs {
		idx[sec.header()] = sec
	}
	return idx
}

// diffSection compares two versions of a section. One of them may be nil.
func diffSection(sb *strings.Builder, old, cur *section) {
	if cur == nil {
		fmt.Fprintf(sb, "- [%s]\n", old.header())
		return
	}
	if old == nil {
		fmt.Fprintf(sb, "+ [%s]\n", cur.header())
		old = &section{}
	}
	for _, key := range old.order {
		if ent, ok := cur.keys[key]; !ok || ent.value != old.keys[key].value {
			fmt.Fprintf(sb, "- [%s] %s = %s\n", cur.header(), key, old.keys[key].value)
		}
	}
	for _, key := range cur.order {
		if ent, ok := old.keys[key]; !ok || ent.value != cur.keys[key].value {
			fmt.Fprintf(sb, "+ [%s] %s = %s\n", cur.header(), key, cur.keys[key].value)
		}
	}
}
