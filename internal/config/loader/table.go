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

// Setting describes one setting, which has one key in the settings file and one flag.
type Setting struct {
	Section string
	Key     string
	// Type is the name of the value's type in the help text and in docs/configuration.md.
	Type string
	// Default is the value when neither the file nor a flag sets one. It is empty when there is no
	// default.
	Default string
	// Standalone replaces Default in a standalone daemon unless it is empty.
	Standalone  string
	Description string
	// Allowed describes the accepted values.
	Allowed string
	// requirement says when a value is required.
	requirement requirement
	// set parses and stores a value. It returns false when the value is not allowed.
	set func(*Settings, string) bool
}

// requirement is a condition under which a setting must have a value.
type requirement int

const (
	optional requirement = iota
	requiredAlways
	// requiredWithPlatform means required unless the daemon is standalone.
	requiredWithPlatform
	// requiredForPlans means required unless the daemon is standalone or schedules callers' jobs.
	requiredForPlans
	// requiredForJobs means required when the daemon schedules callers' jobs.
	requiredForJobs
)

const (
	allowedName     = "1 to 63 letters, digits, hyphens and underscores"
	allowedAddress  = "an IP address and port, such as 10.0.0.1:8443 or [fd00::1]:8443"
	allowedDuration = "a duration from 1ms to 1h, such as 1m30s"
	allowedFactor   = "a number from 0.001 to 1000, such as 1.5"
	allowedCount    = "a whole number from 1 to 1000000000000"
)

// Table lists all settings in the order of docs/configuration.md.
var Table = []Setting{
	{
		"Jobs", "Enabled", "BOOL", "false", "",
		"Schedule callers' jobs on the users' platform instead of routing calls and scheduling the plan of the day.", "true or false",
		optional, func(st *Settings, val string) bool { return setBool(&st.Jobs.Enabled, val) },
	},
	{
		"Jobs", "Lease", "DURATION", "6s", "",
		"Time for which a worker runs tasks without a renewal. A longer lease survives longer network partitions; with a shorter one, the tasks of a failed worker restart sooner.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.Lease, val) },
	},
	{
		"Jobs", "LongestLease", "DURATION", "10s", "", "Longest lease that workers accept. A longer Lease is reduced to it.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.LongestLease, val) },
	},
	{
		"Jobs", "StopLimit", "DURATION", "1s", "", "Longest time that a worker takes to stop a task.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.StopLimit, val) },
	},
	{
		"Jobs", "Retention", "DURATION", "2m", "", "Time for which the state of an ended job can be queried.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.Retention, val) },
	},
	{
		"Jobs", "RestoreTime", "DURATION", "100ms", "", "Time that a task takes to load a checkpoint.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.RestoreTime, val) },
	},
	{
		"Jobs", "HarmLimit", "DURATION", "4s", "", "Longest time for which a latency-critical task may exceed its tail-latency target beside best-effort work.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Jobs.HarmLimit, val) },
	},
	{
		"Jobs", "FarFactor", "FACTOR", "1.5", "", "Ratio of the run time of a task far from its data to that near its data.", allowedFactor,
		optional, func(st *Settings, val string) bool { return setFactor(&st.Jobs.FarFactor, val) },
	},
	{
		"Jobs", "EvacuationLimit", "DURATION", "0s", "", "Time after a request to evacuate a data centre was stored from which no task may start there. With 0s, such requests are not read.", "0s or a duration from 3.5s to 1h, such as 5s",
		optional, func(st *Settings, val string) bool { return setEvacuationLimit(&st.Jobs.EvacuationLimit, val) },
	},
	{
		"Jobs", "ShortagePolicy", "POLICY", "Deadline", "Value",
		"Order of tasks while capacity is short. Deadline orders by the latest start with which a job meets its objective; Value by what callers still gain for the capacity that a job needs, with a reserve for short tasks that follows their demand.", "Deadline or Value",
		optional, setShortagePolicy,
	},
	{
		"Jobs", "Refusal", "POLICY", "Unstorable", "",
		"Which jobs are refused: those that cannot be stored, or also those that certainly would end later than three times their objective. Must be the same on all entry hosts.", "Unstorable or Useless",
		optional, setRefusal,
	},
	{
		"Host", "Name", "NAME", "", "host-1", "Name of this entry host in the shared configuration.", allowedName,
		requiredAlways, func(st *Settings, val string) bool { return setName(&st.Host.Name, val) },
	},
	{
		"Host", "DataCentre", "NAME", "", "thies-centre", "Data centre of this entry host.", allowedName,
		requiredAlways, func(st *Settings, val string) bool { return setName(&st.Host.DataCentre, val) },
	},
	{
		"Host", "Share", "FACTOR", "1", "", "Share of a core that this host may use. Hosts with a higher product of Share and Speed are preferred as leader.", allowedFactor,
		optional, func(st *Settings, val string) bool { return setFactor(&st.Host.Share, val) },
	},
	{
		"Host", "Speed", "FACTOR", "1", "", "Speed of the core relative to other hosts.", allowedFactor,
		optional, func(st *Settings, val string) bool { return setFactor(&st.Host.Speed, val) },
	},
	{
		"Listen", "Callers", "ADDRESS", "", "127.0.0.1:7480", "Address of the callers' interface.", allowedAddress,
		requiredAlways, func(st *Settings, val string) bool { return setAddress(&st.Listen.Callers, val) },
	},
	{
		"Listen", "Operators", "ADDRESS", "", "127.0.0.1:7481", "Address of the operators' interface.", allowedAddress,
		requiredAlways, func(st *Settings, val string) bool { return setAddress(&st.Listen.Operators, val) },
	},
	{
		"Listen", "Peers", "ADDRESS", "", "127.0.0.1:7482", "Address of the peers' interface.", allowedAddress,
		requiredAlways, func(st *Settings, val string) bool { return setAddress(&st.Listen.Peers, val) },
	},
	{
		"Listen", "Readiness", "ADDRESS", "", "", "Address on which the load balancer checks whether this host accepts callers' jobs.", allowedAddress,
		requiredForJobs, func(st *Settings, val string) bool { return setAddress(&st.Listen.Readiness, val) },
	},
	{
		"Platform", "Store", "ADDRESS", "", "", "Address of the key-value service.", allowedAddress,
		requiredWithPlatform, func(st *Settings, val string) bool { return setAddress(&st.Platform.Store, val) },
	},
	{
		"Platform", "HostList", "ADDRESS", "", "", "Address of the list of live and leaving hosts.", allowedAddress,
		requiredForPlans, func(st *Settings, val string) bool { return setAddress(&st.Platform.HostList, val) },
	},
	{
		"Platform", "Policy", "ADDRESS", "", "", "Address of the policy service, which decides which workers may run a step.", allowedAddress,
		optional, func(st *Settings, val string) bool { return setAddress(&st.Platform.Policy, val) },
	},
	{
		"Peers", "Addresses", "ADDRESSES", "", "",
		"Addresses of other entry hosts. They let this host start while the store is unavailable.",
		allowedAddress + "; several are separated by commas",
		optional, setPeers,
	},
	{
		"Log", "Format", "FORMAT", "json", "text", "Format of log lines.", "json or text",
		optional, setFormat,
	},
	{
		"Limits", "DrainLimit", "DURATION", "30s", "",
		"Longest duration of a drain. It should be at least the longest CallLimit of a service.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.DrainLimit, val) },
	},
	{
		"Limits", "StoreTimeout", "DURATION", "2s", "", "Timeout of one call to the key-value service.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.StoreTimeout, val) },
	},
	{
		"Limits", "PeerTimeout", "DURATION", "800ms", "", "Timeout of one message to a peer.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.PeerTimeout, val) },
	},
	{
		"Limits", "IdleTimeout", "DURATION", "2m", "", "Time after which a caller's idle connection is closed.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.IdleTimeout, val) },
	},
	{
		"Limits", "HeaderBytes", "BYTES", "32768", "", "Maximum size of the header of a request, in bytes; 4096 more are allowed. At most 12288 where [Jobs] Enabled is true.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.HeaderBytes, val) },
	},
	{
		"Limits", "KeptKeys", "COUNT", "1000000", "",
		"Maximum number of idempotency keys that a leader keeps. A key is kept for 24 hours. New keys above the maximum are refused.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.KeptKeys, val) },
	},
	{
		"Limits", "KeptAnswerBytes", "BYTES", "16777216", "",
		"Maximum memory for answers that a leader keeps for retries, in bytes.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.KeptAnswerBytes, val) },
	},
	{
		"Limits", "MemoryMB", "COUNT", "", "",
		"Memory of this host, in megabytes; that of the machine if it is not set. BodyMemory is reduced to an eighth of it. Where [Jobs] Enabled is true.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.MemoryMB, val) },
	},
	{
		"Limits", "Descriptors", "COUNT", "", "",
		"Maximum number of open descriptors of the process; the limit that the system has for it if it is not set. Connections is reduced to 64% of those beyond 200 for files. Where [Jobs] Enabled is true.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.Descriptors, val) },
	},
	{
		"Limits", "BodyMemory", "BYTES", "25165824", "",
		"Maximum memory held for the bodies of requests, in bytes. Above it, the largest and slowest bodies are ended. Callers have 9, peers 5, operators and readiness checks 1 sixteenth each of this and of Connections. Where [Jobs] Enabled is true.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.BodyMemory, val) },
	},
	{
		"Limits", "PeerBodyBytes", "BYTES", "16777216", "",
		"Maximum size of a body on the peers' interface, in bytes. It is reduced to a quarter of the peers' part of BodyMemory. Where [Jobs] Enabled is true.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.PeerBodyBytes, val) },
	},
	{
		"Limits", "BodyStall", "DURATION", "3s", "",
		"Time without progress after which the body of a request is ended. Where [Jobs] Enabled is true.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.BodyStall, val) },
	},
	{
		"Limits", "BodyTime", "DURATION", "10s", "",
		"Longest time for the body of a request of peers, operators and readiness checks. A caller's body is ended at the timeout of its request, after 1 minute at the latest. Where [Jobs] Enabled is true.", allowedDuration,
		optional, func(st *Settings, val string) bool { return setDuration(&st.Limits.BodyTime, val) },
	},
	{
		"Limits", "Connections", "COUNT", "3200", "",
		"Maximum number of connections that clients have open. Above fifteen sixteenths of it, those that wait longest for a request are closed. Where [Jobs] Enabled is true.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.Connections, val) },
	},
	{
		"Limits", "ConnectionsPerAddress", "COUNT", "", "",
		"Maximum number of connections from one address to one interface. There is none if it is not set: a load balancer may present all clients under one address. Where [Jobs] Enabled is true.", allowedCount,
		optional, func(st *Settings, val string) bool { return setCount(&st.Limits.ConnectionsPerAddress, val) },
	},
	{
		"TLS", "Certificate", "FILE", "", "", "Certificate that this host presents to operators and peers.", "path of a PEM file",
		optional, func(st *Settings, val string) bool { return setText(&st.TLS.Certificate, val) },
	},
	{
		"TLS", "Key", "FILE", "", "", "Private key of the certificate.", "path of a PEM file",
		optional, func(st *Settings, val string) bool { return setText(&st.TLS.Key, val) },
	},
	{
		"TLS", "Authority", "FILE", "", "", "Certificates of the authorities that sign the certificates of operators and peers.", "path of a PEM file",
		optional, func(st *Settings, val string) bool { return setText(&st.TLS.Authority, val) },
	},
	{
		"TLS", "Insecure", "BOOL", "false", "true",
		"Serve operators and peers without TLS. Allowed only on loopback addresses.", "true or false",
		optional, func(st *Settings, val string) bool { return setBool(&st.TLS.Insecure, val) },
	},
	{
		"TLS", "TrustedNetwork", "BOOL", "false", "",
		"Serve operators and peers without TLS on any address. Only for a network that nobody else can reach. A warning is logged at startup. Required where [Jobs] Enabled is true, unless Insecure is.", "true or false",
		optional, func(st *Settings, val string) bool { return setBool(&st.TLS.TrustedNetwork, val) },
	},
}

// Flag returns the name of the flag that overrides the setting, without the hyphens before it.
func (sg Setting) Flag() string {
	if sg.Key == "Insecure" {
		return "insecure"
	}
	return strings.ToLower(sg.Section) + "-" + kebabCase(sg.Key)
}

func (sg Setting) id() string { return sg.Section + "." + sg.Key }

func (sg Setting) required(st *Settings) bool {
	switch sg.requirement {
	case requiredAlways:
		return true
	case requiredWithPlatform:
		return !st.Standalone
	case requiredForPlans:
		return !st.Standalone && !st.Jobs.Enabled
	case requiredForJobs:
		return st.Jobs.Enabled
	}
	return false
}

func (sg Setting) newError(rv rawValue, allowed string) error {
	return &SettingError{Source: rv.source, Section: sg.Section, Key: sg.Key, Value: rv.value, Allowed: allowed}
}

func kebabCase(key string) string {
	var sb strings.Builder
	for idx, ch := range key {
		if idx > 0 && unicode.IsUpper(ch) {
			sb.WriteByte('-')
		}
		sb.WriteRune(unicode.ToLower(ch))
	}
	return sb.String()
}

func settingsBySection() map[string]map[string]Setting {
	secs := map[string]map[string]Setting{}
	for _, sg := range Table {
		if secs[sg.Section] == nil {
			secs[sg.Section] = map[string]Setting{}
		}
		secs[sg.Section][sg.Key] = sg
	}
	return secs
}

func sectionNames() string {
	var names []string
	for _, sg := range Table {
		if !slices.Contains(names, sg.Section) {
			names = append(names, sg.Section)
		}
	}
	return strings.Join(names, ", ")
}

func keyNames(section string) string {
	var names []string
	for _, sg := range Table {
		if sg.Section == section {
			names = append(names, sg.Key)
		}
	}
	return strings.Join(names, ", ")
}

// settingNamed returns the row of Table with the section and key. It must exist.
func settingNamed(section, key string) Setting { return settingsBySection()[section][key] }

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

func setShortagePolicy(st *Settings, val string) bool {
	st.Jobs.ShortagePolicy = val
	return val == "Deadline" || val == "Value"
}

func setRefusal(st *Settings, val string) bool {
	st.Jobs.RefuseUseless = val == "Useless"
	return val == "Useless" || val == "Unstorable"
}

func setDuration(dst *time.Duration, val string) bool {
	dur, err := time.ParseDuration(val)
	*dst = dur
	return err == nil && dur >= time.Millisecond && dur <= time.Hour
}

// minEvacuationLimit is the shortest evacuation limit that can be kept: a view of the requests is outdated at an age of
// 1.5 s at the least, and starts under way take up to 2 s.
const minEvacuationLimit = 3500 * time.Millisecond

// setEvacuationLimit sets a duration that is zero or not less than minEvacuationLimit.
func setEvacuationLimit(dst *time.Duration, val string) bool {
	return setDurationOrZero(dst, val) && (*dst == 0 || *dst >= minEvacuationLimit)
}

// setDurationOrZero sets a duration that may be zero.
func setDurationOrZero(dst *time.Duration, val string) bool {
	if dur, err := time.ParseDuration(val); err == nil && dur == 0 {
		*dst = 0
		return true
	}
	return setDuration(dst, val)
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
