package checker

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Defaults and bounds of the values of keys.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultQueueLimit  = 64
	// defaultBodyLimit is in bytes.
	defaultBodyLimit = 1 << 20
	// maxCount bounds keys that are plain counts.
	maxCount = 1_000_000
	// maxBodyLimit is in bytes.
	maxBodyLimit = 1 << 40
	// maxCallLimit also bounds the time that a restarted host waits before it uses its share of the
	// runners' slots.
	maxCallLimit = time.Hour
	// minLeaseTerm gives a leader time for more than one attempt to renew a lease.
	minLeaseTerm = 10 * time.Second
	maxLeaseTerm = 24 * time.Hour
)

// parser builds the configuration and collects the faults of one document.
type parser struct {
	cfg    *modeler.Configuration
	faults FaultList
	// sectionLines maps the header of a section, such as "Host NAME", to its line.
	sectionLines map[string]int
	// addresses maps an address to the header of the section that uses it.
	addresses map[netip.AddrPort]string
}

// Parse returns the configuration that a document describes, with the given revision. Error:
// ErrInvalid, as a FaultList with all faults of the document.
func Parse(document []byte, rev modeler.Revision) (*modeler.Configuration, error) {
	if len(document) > MaxDocumentBytes {
		return nil, FaultList{{Allowed: fmt.Sprintf("a document has at most %d bytes; this one has %d", MaxDocumentBytes, len(document))}}
	}
	secs, faults := scan(document)
	prs := parser{
		cfg:          &modeler.Configuration{Revision: rev, Limits: modeler.DefaultLimits},
		faults:       faults,
		sectionLines: map[string]int{},
		addresses:    map[netip.AddrPort]string{},
	}
	for _, sec := range secs {
		prs.register(sec)
	}
	for _, sec := range secs {
		prs.readSection(sec)
	}
	if len(prs.cfg.DataCentres) == 0 {
		prs.faults = append(prs.faults, Fault{Allowed: "a document has at least one section [DataCentre NAME]"})
	}
	if len(prs.faults) > 0 {
		slices.SortStableFunc(prs.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, prs.faults
	}
	return prs.cfg, nil
}

// register records the header of a section. It is called for all sections before readSection, because
// a section may refer to a later one.
func (prs *parser) register(sec *section) {
	if line, ok := prs.sectionLines[sec.header()]; ok {
		prs.fault(sec, fmt.Sprintf("a section occurs once; this one begins on line %d", line))
		return
	}
	prs.sectionLines[sec.header()] = sec.line
}

func (prs *parser) readSection(sec *section) {
	named := sec.kind != "Limits"
	if named && !modeler.ValidName(sec.name) {
		prs.fault(sec, "a name has 1 to 63 letters, digits, hyphens and underscores")
	}
	if !named && sec.name != "" {
		prs.fault(sec, "the section [Limits] has no name")
	}
	cfg := prs.cfg
	switch sec.kind {
	case "DataCentre":
		cfg.DataCentres = append(cfg.DataCentres, modeler.DataCentreName(sec.name))
	case "Host":
		cfg.Hosts = append(cfg.Hosts, prs.host(sec))
	case "Runner":
		cfg.Runners = append(cfg.Runners, prs.runner(sec))
	case "Service":
		cfg.Services = append(cfg.Services, prs.service(sec))
	case "Team":
		cfg.Teams = append(cfg.Teams, prs.team(sec))
	case "Worker":
		if prs.flag(sec, "Leaving") {
			cfg.LeavingWorkers = append(cfg.LeavingWorkers, modeler.WorkerName(sec.name))
		}
	case "Limits":
		prs.limits(sec)
	default:
		prs.fault(sec, "a section is DataCentre, Host, Runner, Service, Team, Worker or Limits")
		return
	}
	prs.unknownKeys(sec)
}

func (prs *parser) host(sec *section) modeler.Host {
	return modeler.Host{
		Name:       modeler.HostName(sec.name),
		DataCentre: modeler.DataCentreName(prs.reference(sec, "DataCentre", "DataCentre")),
		Peer:       prs.address(sec, "Peer"),
		Retired:    prs.flag(sec, "Retired"),
		Leaving:    prs.flag(sec, "Leaving"),
	}
}

func (prs *parser) runner(sec *section) modeler.Runner {
	return modeler.Runner{
		Name:        modeler.RunnerName(sec.name),
		DataCentre:  modeler.DataCentreName(prs.reference(sec, "DataCentre", "DataCentre")),
		Service:     modeler.ServiceName(prs.reference(sec, "Service", "Service")),
		Endpoint:    prs.address(sec, "Endpoint"),
		Slots:       int(prs.integer(sec, "Slots", defaultSlots, 1, maxCount)),
		Connections: int(prs.integer(sec, "Connections", defaultConnections, 1, maxCount)),
		Leaving:     prs.flag(sec, "Leaving"),
	}
}

func (prs *parser) service(sec *section) modeler.Service {
	limit := prs.duration(sec, "CallLimit", modeler.DefaultCallLimit, time.Millisecond, maxCallLimit)
	return modeler.Service{
		Name:       modeler.ServiceName(sec.name),
		CallLimit:  limit,
		Deadline:   prs.duration(sec, "Deadline", limit, time.Millisecond, limit),
		Repeatable: prs.flag(sec, "Repeatable"),
		QueueLimit: int(prs.integer(sec, "QueueLimit", defaultQueueLimit, 0, maxCount)),
		BodyLimit:  prs.integer(sec, "BodyLimit", defaultBodyLimit, 1, maxBodyLimit),
	}
}

func (prs *parser) team(sec *section) modeler.Team {
	return modeler.Team{Name: sec.name, Quota: prs.fraction(sec, "Quota", 1, false)}
}

func (prs *parser) limits(sec *section) {
	def := modeler.DefaultLimits
	prs.cfg.Limits = modeler.Limits{
		HoldersPerRunner: int(prs.integer(sec, "HoldersPerRunner", int64(def.HoldersPerRunner), 1, maxCount)),
		WritesPerSecond:  int(prs.integer(sec, "WritesPerSecond", int64(def.WritesPerSecond), 1, maxCount)),
		ShortReserve:     prs.fraction(sec, "ShortReserve", def.ShortReserve, true),
		LeaseTerm:        prs.duration(sec, "LeaseTerm", def.LeaseTerm, minLeaseTerm, maxLeaseTerm),
	}
}

func (prs *parser) fault(sec *section, allowed string) {
	prs.faults = append(prs.faults, Fault{Line: sec.line, Section: sec.header(), Allowed: allowed})
}

func (prs *parser) keyFault(sec *section, key, allowed string) {
	ent := sec.keys[key]
	prs.faults = append(prs.faults, Fault{
		Line: ent.line, Section: sec.header(), Key: key, Value: ent.value, Allowed: allowed,
	})
}

func (prs *parser) unknownKeys(sec *section) {
	known := make([]string, 0, len(sec.known))
	for key := range sec.known {
		known = append(known, key)
	}
	slices.Sort(known)
	for _, key := range sec.order {
		if sec.known[key] {
			continue
		}
		if len(known) == 0 {
			prs.keyFault(sec, key, "the section has no keys")
			continue
		}
		prs.keyFault(sec, key, "unknown key; allowed are "+strings.Join(known, ", "))
	}
}

// value returns the value of a key and whether it is set. It marks the key as known.
func (prs *parser) value(sec *section, key string) (string, bool) {
	sec.known[key] = true
	ent, ok := sec.keys[key]
	return ent.value, ok
}

func (prs *parser) required(sec *section, key string) (string, bool) {
	val, ok := prs.value(sec, key)
	if !ok {
		prs.fault(sec, "the key "+key+" is required")
	}
	return val, ok
}

func (prs *parser) reference(sec *section, key, kind string) string {
	val, ok := prs.required(sec, key)
	if _, known := prs.sectionLines[kind+" "+val]; ok && !known {
		prs.keyFault(sec, key, fmt.Sprintf("the name of a section [%s NAME]", kind))
	}
	return val
}

func (prs *parser) address(sec *section, key string) netip.AddrPort {
	val, ok := prs.required(sec, key)
	if !ok {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(val)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().Zone() != "" {
		prs.keyFault(sec, key, "an IP address and port, as 10.0.0.1:8443 or [fd00::1]:8443")
		return netip.AddrPort{}
	}
	if user, dup := prs.addresses[addr]; dup {
		prs.keyFault(sec, key, fmt.Sprintf("an address that no other section uses; [%s] uses it", user))
		return addr
	}
	prs.addresses[addr] = sec.header()
	return addr
}

func (prs *parser) flag(sec *section, key string) bool {
	val, ok := prs.value(sec, key)
	if ok && val != "true" && val != "false" {
		prs.keyFault(sec, key, "true or false")
	}
	return val == "true"
}

func (prs *parser) integer(sec *section, key string, def, minimum, maximum int64) int64 {
	val, ok := prs.value(sec, key)
	if !ok {
		return def
	}
	num, err := strconv.ParseInt(val, 10, 64)
	if err != nil || num < minimum || num > maximum {
		prs.keyFault(sec, key, fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
	}
	return num
}

func (prs *parser) duration(sec *section, key string, def, minimum, maximum time.Duration) time.Duration {
	val, ok := prs.value(sec, key)
	if !ok {
		return def
	}
	dur, err := time.ParseDuration(val)
	if err != nil || dur < minimum || dur > maximum {
		prs.keyFault(sec, key, fmt.Sprintf("a duration from %v to %v, as 1m30s", minimum, maximum))
		return def
	}
	return dur
}

func (prs *parser) fraction(sec *section, key string, def float64, allowZero bool) float64 {
	val, ok := prs.value(sec, key)
	if !ok {
		return def
	}
	num, err := strconv.ParseFloat(val, 64)
	// NaN fails the comparisons and is refused.
	if valid := err == nil && num <= 1 && (num > 0 || allowZero && num == 0); valid {
		return num
	}
	if allowZero {
		prs.keyFault(sec, key, "a number from 0 to 1")
	} else {
		prs.keyFault(sec, key, "a number above 0 and at most 1")
	}
	return def
}
