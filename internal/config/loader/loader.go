// Package loader reads the settings of a process from an INI file and flags. The table of
// settings in this package is the source of docs/configuration.md.
package loader

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/jessevdk/go-flags"
	"gopkg.in/ini.v1"
)

// ErrBadSetting means that a setting, section or flag is invalid or that the settings file can't be
// read. The error is a *SettingError unless it concerns the command line as a whole.
var ErrBadSetting = errors.New("invalid setting")

// ErrHelp means that the command line has the flag for help. The error's text has the help text.
var ErrHelp = errors.New("help requested")

// SettingError describes an invalid setting.
type SettingError struct {
	// Source is the path of the settings file, the flag or "command line".
	Source  string
	Section string
	// Key is empty when the error concerns a whole section or the file.
	Key   string
	Value string
	// Allowed describes the accepted values.
	Allowed string
}

// Error returns one line with the source, section, key, value and accepted values.
func (se *SettingError) Error() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s: ", se.Source)
	if se.Section != "" {
		fmt.Fprintf(&sb, "[%s] ", escape(se.Section))
	}
	if se.Key != "" {
		fmt.Fprintf(&sb, "%s = %q: ", escape(se.Key), se.Value)
	}
	sb.WriteString(se.Allowed)
	return sb.String()
}

// Is reports that the error is ErrBadSetting.
func (se *SettingError) Is(target error) bool { return target == ErrBadSetting }

// escape replaces control characters by escape sequences, so that a message stays on one line.
func escape(text string) string {
	quoted := fmt.Sprintf("%q", text)
	return quoted[1 : len(quoted)-1]
}

// options are the flags without a row in Table.
type options struct {
	Settings   string `long:"settings" value-name:"FILE" description:"Settings file (INI)"`
	Check      bool   `long:"check" description:"Check the settings and exit"`
	Standalone bool   `long:"standalone" description:"Run with an in-memory emulation of the platform"`
	Version    bool   `long:"version" description:"Print the version and exit"`
}

// rawValue is the text of a setting before it is parsed, and its source as in SettingError.
type rawValue struct {
	source string
	value  string
}

// Load parses the command line, without the program's name, and the settings file that it names.
// Flags override the file. Errors: ErrBadSetting and ErrHelp.
func Load(args []string) (*Settings, error) {
	var opt options
	flagValues, err := parseFlags(&opt, args)
	if err != nil {
		return nil, err
	}
	st := &Settings{Check: opt.Check, Standalone: opt.Standalone, Version: opt.Version, Args: args}
	if opt.Version {
		return st, nil
	}
	values := map[string]rawValue{}
	if opt.Settings != "" {
		if values, err = readFile(opt.Settings); err != nil {
			return nil, err
		}
	}
	for id, rv := range flagValues {
		values[id] = rv
	}
	source := opt.Settings
	if source == "" {
		source = "command line"
	}
	if err := apply(st, source, values); err != nil {
		return nil, err
	}
	return st, st.validate(source, values)
}

// parseFlags parses the command line. It stores the options in opt and returns the settings by ID.
func parseFlags(opt *options, args []string) (map[string]rawValue, error) {
	prs := flags.NewParser(opt, flags.HelpFlag|flags.PassDoubleDash)
	prs.Name = "currantd"
	texts := reflect.New(flagStruct())
	if _, err := prs.AddGroup("Settings", "Each overrides the settings file.", texts.Interface()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSetting, err)
	}
	rest, err := prs.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		return nil, fmt.Errorf("%w\n%s", ErrHelp, fe.Message)
	}
	if err != nil {
		return nil, fmt.Errorf("command line: %w: %s", ErrBadSetting, escape(err.Error()))
	}
	if len(rest) > 0 {
		return nil, &SettingError{Source: "command line", Allowed: fmt.Sprintf("%q is not a flag", rest[0])}
	}
	values := map[string]rawValue{}
	for idx, sg := range Table {
		if prs.FindOptionByLongName(sg.Flag()).IsSet() {
			values[sg.id()] = rawValue{"flag --" + sg.Flag(), texts.Elem().Field(idx).String()}
		}
	}
	return values, nil
}

// flagStruct returns a struct type with one string field for each row of Table, in its order. The
// tags define the flags, because Group.AddOption of go-flags v1.6.1 panics while parsing.
func flagStruct() reflect.Type {
	fields := make([]reflect.StructField, len(Table))
	for idx, sg := range Table {
		tag := fmt.Sprintf("long:%q value-name:%q description:%q", sg.Flag(), sg.Type, sg.Description)
		fields[idx] = reflect.StructField{
			Name: sg.Section + sg.Key,
			Type: reflect.TypeFor[string](),
			Tag:  reflect.StructTag(tag),
		}
	}
	return reflect.StructOf(fields)
}

func readFile(path string) (map[string]rawValue, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingError{Source: path, Allowed: escape(err.Error())}
	}
	return parseFile(path, text)
}

// parseFile returns the settings in the text of a file by ID. Unknown and duplicate keys are errors.
func parseFile(path string, text []byte) (map[string]rawValue, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		return nil, &SettingError{Source: path, Allowed: escape(err.Error())}
	}
	values := map[string]rawValue{}
	for _, sec := range file.Sections() {
		if err := readSection(path, sec, values); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func readSection(path string, sec *ini.Section, values map[string]rawValue) error {
	if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
		return nil
	}
	keys, ok := settingsBySection()[sec.Name()]
	if !ok {
		return &SettingError{Source: path, Section: sec.Name(), Allowed: "unknown section; allowed are " + sectionNames()}
	}
	for _, key := range sec.Keys() {
		se := &SettingError{Source: path, Section: sec.Name(), Key: key.Name(), Value: key.Value()}
		sg, ok := keys[key.Name()]
		if !ok {
			se.Allowed = "unknown key; allowed are " + keyNames(sec.Name())
			return se
		}
		if len(key.ValueWithShadows()) > 1 {
			se.Allowed = "a key may be set only once"
			return se
		}
		values[sg.id()] = rawValue{path, key.Value()}
	}
	return nil
}

// apply parses the values and defaults in the order of Table and stores them in st.
func apply(st *Settings, source string, values map[string]rawValue) error {
	for _, sg := range Table {
		rv, ok := values[sg.id()]
		if !ok {
			rv = rawValue{source, sg.Default}
			if st.Standalone && sg.Standalone != "" {
				rv.value = sg.Standalone
			}
		}
		if rv.value == "" && sg.required(st) {
			return sg.newError(rv, "is required: "+sg.Allowed)
		}
		if rv.value == "" && !ok {
			continue
		}
		if !sg.set(st, rv.value) {
			return sg.newError(rv, sg.Allowed)
		}
	}
	return nil
}

// validate checks the rules that involve more than one setting.
func (st *Settings) validate(source string, values map[string]rawValue) error {
	sg := settingNamed("TLS", "Insecure")
	rv, ok := values[sg.id()]
	if !ok {
		rv = rawValue{source, sg.Default}
		// The default of a standalone daemon is to serve without TLS; a certificate overrides it.
		st.TLS.Insecure = st.TLS.Insecure && st.TLS.Certificate == ""
	}
	loopback := st.Listen.Operators.Addr().IsLoopback() && st.Listen.Peers.Addr().IsLoopback()
	if st.TLS.Insecure && !loopback {
		return sg.newError(rv, "true is allowed only when Operators and Peers in [Listen] are loopback addresses")
	}
	if !st.TLS.Insecure && !st.TLS.TrustedNetwork && (st.TLS.Certificate == "" || st.TLS.Key == "" || st.TLS.Authority == "") {
		return sg.newError(rv, "Certificate, Key and Authority are required unless this is true on loopback addresses")
	}
	st.Jobs.Lease = min(st.Jobs.Lease, st.Jobs.LongestLease)
	ls := st.Listen
	if ls.Callers == ls.Operators || ls.Callers == ls.Peers || ls.Operators == ls.Peers {
		sg = settingNamed("Listen", "Peers")
		return sg.newError(rawValue{source, ls.Peers.String()}, "Callers, Operators and Peers must be three different addresses")
	}
	if st.Jobs.Enabled {
		return st.validateJobs(source, values)
	}
	return nil
}

// validateJobs checks the rules of a daemon that schedules callers' jobs.
func (st *Settings) validateJobs(source string, values map[string]rawValue) error {
	ls := st.Listen
	for _, rule := range []struct {
		broken       bool
		section, key string
		allowed      string
	}{
		{st.Standalone, "Jobs", "Enabled", "true is not allowed with --standalone, which has no workers for callers' jobs"},
		{
			!st.TLS.Insecure && !st.TLS.TrustedNetwork, "TLS", "TrustedNetwork",
			"must be true where [Jobs] Enabled is, unless Insecure is: operators and peers are then served without TLS",
		},
		{
			ls.Readiness == ls.Callers || ls.Readiness == ls.Operators || ls.Readiness == ls.Peers, "Listen", "Readiness",
			"must differ from Callers, Operators and Peers",
		},
		{ls.Peers.Addr().IsUnspecified(), "Listen", "Peers", "an IP address of this host, to which the other hosts connect"},
	} {
		if !rule.broken {
			continue
		}
		sg := settingNamed(rule.section, rule.key)
		rv, ok := values[sg.id()]
		if !ok {
			rv = rawValue{source, sg.Default}
		}
		return sg.newError(rv, rule.allowed)
	}
	return nil
}
