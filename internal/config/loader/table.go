package loader

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Setting describes one setting of the table.
type Setting struct {
	Section string
	Key     string
	// Type is shown in the help text and on the page of settings.
	Type string
	// Default is the value when neither file nor flag sets one. It is empty for none.
	Default string
	// Standalone is the default of a standalone daemon when it differs.
	Standalone string
	Text       string
	// Allowed says what values are accepted.
	Allowed string
	// need says when the setting has to be set.
	need need
	// set parses and stores a value. It returns false when the value is not allowed.
	set func(*Settings, string) bool
}

type need int

const (
	optional need = iota
	always
	// platform is needed unless the daemon emulates the platform.
	platform
	// sheet is needed for the day's sheet, unless the daemon emulates the platform.
	sheet
	// jobs is needed for callers' jobs.
	jobs
)

const (
	allowedName     = "1 to 63 letters, digits, hyphens and underscores"
	allowedAddress  = "an IP address and port, as 10.0.0.1:8443 or [fd00::1]:8443"
	allowedDuration = "a duration from 1ms to 1h, as 1m30s"
	allowedFactor   = "a number from 0.001 to 1000, as 1.5"
	allowedCount    = "a whole number from 1 to 1000000000000"
)

// Table lists all settings in the order of docs/configuration.md.
var Table = []Setting{
	{
		"Jobs", "Enabled", "BOOL", "false", "",
		"Schedule callers' jobs on the users' platform, instead of calls and the day's sheet.", "true or false",
		optional, func(st *Settings, val string) bool { return setBool(&st.Jobs.Enabled, val) },
	},
	{
		"Jobs", "Lease", "DURATION", "7s", "",
		"Time for which a worker runs tasks without a renewal. Longer leases survive longer cuts; shorter ones start the tasks of a dead worker sooner.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.Lease, val) },
	},
	{
		"Jobs", "LongestLease", "DURATION", "10s", "", "Longest lease that workers accept. It bounds Lease.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.LongestLease, val) },
	},
	{
		"Jobs", "StopLimit", "DURATION", "1s", "", "Longest time that a worker takes to stop a task.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.StopLimit, val) },
	},
	{
		"Jobs", "Retention", "DURATION", "2m", "", "Time for which the state of a job that has ended can be asked for.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.Retention, val) },
	},
	{
		"Jobs", "RestoreTime", "DURATION", "100ms", "", "Time that a task takes to load a checkpoint.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.RestoreTime, val) },
	},
	{
		"Jobs", "HarmLimit", "DURATION", "4s", "", "Longest time for which a serving task may be over its tail target beside work that fills.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.HarmLimit, val) },
	},
	{
		"Jobs", "FarFactor", "FACTOR", "1.5", "", "How many times as long a task takes that is far from its data.", allowedFactor,
		optional, func(st *Settings, val string) bool { return setFactor(&st.Jobs.FarFactor, val) },
	},
	{
		"Host", "Name", "NAME", "", "host-1", "Name of this entry host in the shared configuration.", allowedName,
		always, func(st *Settings, val string) bool { return setName(&st.Host.Name, val) },
	},
	{
		"Host", "DataCentre", "NAME", "", "thies-centre", "Data centre of this entry host.", allowedName,
		always, func(st *Settings, val string) bool { return setName(&st.Host.DataCentre, val) },
	},
	{
		"Host", "Share", "FACTOR", "1", "", "Share of a core that this host may use. Hosts with a higher share times Speed lead first.", allowedFactor,
		optional, func(st *Settings, val string) bool { return setFactor(&st.Host.Share, val) },
	},
	{
		"Host", "Speed", "FACTOR", "1", "", "Speed of the core relative to other hosts.", allowedFactor,
		optional, func(st *Settings, val string) bool { return setFactor(&st.Host.Speed, val) },
	},
	{
		"Listen", "Callers", "ADDRESS", "", "127.0.0.1:7480", "Address of the callers' interface.", allowedAddress,
		always, func(st *Settings, val string) bool { return setAddress(&st.Listen.Callers, val) },
	},
	{
		"Listen", "Operators", "ADDRESS", "", "127.0.0.1:7481", "Address of the operators' interface.", allowedAddress,
		always, func(st *Settings, val string) bool { return setAddress(&st.Listen.Operators, val) },
	},
	{
		"Listen", "Peers", "ADDRESS", "", "127.0.0.1:7482", "Address of the peers' interface.", allowedAddress,
		always, func(st *Settings, val string) bool { return setAddress(&st.Listen.Peers, val) },
	},
	{
		"Listen", "Readiness", "ADDRESS", "", "", "Address on which the balancer asks whether this host takes callers' jobs.", allowedAddress,
		jobs, func(st *Settings, val string) bool { return setAddress(&st.Listen.Readiness, val) },
	},
	{
		"Platform", "Store", "ADDRESS", "", "", "Address of the key-value service.", allowedAddress,
		platform, func(st *Settings, val string) bool { return setAddress(&st.Platform.Store, val) },
	},
	{
		"Platform", "HostList", "ADDRESS", "", "", "Address of the list of live and leaving hosts.", allowedAddress,
		sheet, func(st *Settings, val string) bool { return setAddress(&st.Platform.HostList, val) },
	},
	{
		"Platform", "Policy", "ADDRESS", "", "", "Address of the service that knows which workers may run a step.", allowedAddress,
		optional, func(st *Settings, val string) bool { return setAddress(&st.Platform.Policy, val) },
	},
	{
		"Peers", "Addresses", "ADDRESSES", "", "",
		"Addresses of other entry hosts, for a start while the store is unavailable.",
		allowedAddress + "; several are separated by commas",
		optional, setPeers,
	},
	{
		"Log", "Format", "FORMAT", "json", "text", "Form of log lines.", "json or text",
		optional, setFormat,
	},
	{
		"Limits", "DrainLimit", "DURATION", "30s", "",
		"Longest time from the start of a drain to its end. At least the longest CallLimit of a service.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.DrainLimit, val) },
	},
	{
		"Limits", "StoreTimeout", "DURATION", "2s", "", "Longest time of one call to the key-value service.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.StoreTimeout, val) },
	},
	{
		"Limits", "PeerTimeout", "DURATION", "800ms", "", "Longest time of one message to a peer.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.PeerTimeout, val) },
	},
	{
		"Limits", "IdleTimeout", "DURATION", "2m", "", "Time after which a caller's idle connection is closed.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.IdleTimeout, val) },
	},
	{
		"Limits", "HeaderBytes", "BYTES", "32768", "", "Largest header of a request, in bytes.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.HeaderBytes, val) },
	},
	{
		"Limits", "KeptKeys", "COUNT", "1000000", "",
		"Greatest number of idempotency keys that a leader keeps for 24 hours. New keys are refused beyond it.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.KeptKeys, val) },
	},
	{
		"Limits", "KeptAnswerBytes", "BYTES", "16777216", "",
		"Memory for answers that a leader keeps for retries, in bytes.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.KeptAnswerBytes, val) },
	},
	{
		"TLS", "Certificate", "FILE", "", "", "Certificate of this host for operators and peers.", "path of a PEM file",
		optional, func(st *Settings, val string) bool { return setText(&st.TLS.Certificate, val) },
	},
	{
		"TLS", "Key", "FILE", "", "", "Private key of the certificate.", "path of a PEM file",
		optional, func(st *Settings, val string) bool { return setText(&st.TLS.Key, val) },
	},
	{
		"TLS", "Authority", "FILE", "", "", "Certificates of the authority of operators and peers.", "path of a PEM file",
		optional, func(st *Settings, val string) bool { return setText(&st.TLS.Authority, val) },
	},
	{
		"TLS", "Insecure", "BOOL", "false", "true",
		"Serve operators and peers without TLS. Only on loopback addresses.", "true or false",
		optional, func(st *Settings, val string) bool { return setBool(&st.TLS.Insecure, val) },
	},
	{
		"TLS", "TrustedNetwork", "BOOL", "false", "",
		"Serve operators and peers without TLS on any address, because nobody else reaches this network. It is logged at the start.", "true or false",
		optional, func(st *Settings, val string) bool { return setBool(&st.TLS.TrustedNetwork, val) },
	},
}

// Flag returns the name of the flag that overrides the setting, without the hyphens before it.
func (row Setting) Flag() string {
	if row.Key == "Insecure" {
		return "insecure"
	}
	return strings.ToLower(row.Section) + "-" + hyphenated(row.Key)
}

func (row Setting) id() string { return row.Section + "." + row.Key }

func (row Setting) required(st *Settings) bool {
	switch row.need {
	case always:
		return true
	case platform:
		return !st.Standalone
	case sheet:
		return !st.Standalone && !st.Jobs.Enabled
	case jobs:
		return st.Jobs.Enabled
	}
	return false
}

func (row Setting) fault(gv given, allowed string) error {
	return &SettingError{Source: gv.source, Section: row.Section, Key: row.Key, Value: gv.value, Allowed: allowed}
}

func hyphenated(key string) string {
	var sb strings.Builder
	for idx, ch := range key {
		if idx > 0 && unicode.IsUpper(ch) {
			sb.WriteByte('-')
		}
		sb.WriteRune(unicode.ToLower(ch))
	}
	return sb.String()
}

func sections() map[string]map[string]Setting {
	secs := map[string]map[string]Setting{}
	for _, row := range Table {
		if secs[row.Section] == nil {
			secs[row.Section] = map[string]Setting{}
		}
		secs[row.Section][row.Key] = row
	}
	return secs
}

func sectionNames() string {
	var names []string
	for _, row := range Table {
		if !slices.Contains(names, row.Section) {
			names = append(names, row.Section)
		}
	}
	return strings.Join(names, ", ")
}

func keyNames(section string) string {
	var names []string
	for _, row := range Table {
		if row.Section == section {
			names = append(names, row.Key)
		}
	}
	return strings.Join(names, ", ")
}

// rowOf returns a row that is in the table.
func rowOf(section, key string) Setting { return sections()[section][key] }

func setName[T modeler.HostName | modeler.DataCentreName](dst *T, val string) bool {
	*dst = T(val)
	return modeler.ValidName(val)
}

func setAddress(dst *netip.AddrPort, val string) bool {
	addr, err := netip.ParseAddrPort(val)
	*dst = addr
	return err == nil && addr.Port() != 0 && addr.Addr().Zone() == ""
}

func setPeers(st *Settings, val string) bool {
	if val == "" {
		return true
	}
	for part := range strings.SplitSeq(val, ",") {
		var addr netip.AddrPort
		if !setAddress(&addr, strings.TrimSpace(part)) {
			return false
		}
		st.Peers = append(st.Peers, addr)
	}
	return true
}

func setFormat(st *Settings, val string) bool {
	st.Log.Format = val
	return val == "json" || val == "text"
}

func setDuration(dst *time.Duration, val string) bool {
	dur, err := time.ParseDuration(val)
	*dst = dur
	return err == nil && dur >= time.Millisecond && dur <= time.Hour
}

func setCount(dst *int64, val string) bool {
	num, err := strconv.ParseInt(val, 10, 64)
	*dst = num
	return err == nil && num >= 1 && num <= 1_000_000_000_000
}

func setFactor(dst *float64, val string) bool {
	num, err := strconv.ParseFloat(val, 64)
	*dst = num
	return err == nil && num >= 0.001 && num <= 1000
}

func setText(dst *string, val string) bool {
	*dst = val
	return true
}

func setBool(dst *bool, val string) bool {
	*dst = val == "true"
	return val == "true" || val == "false"
}
