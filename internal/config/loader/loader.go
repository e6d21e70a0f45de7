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

// ErrBadSetting means that a setting, section, flag or the settings file is wrong. The error is a
// *SettingError unless it concerns the command line as a whole.
var ErrBadSetting = errors.New("wrong setting")

// ErrHelp means that the flags asked for help. The message is the help text.
var ErrHelp = errors.New("help requested")

// SettingError is one wrong setting.
type SettingError struct {
	// Source is the settings file or the flag.
	Source  string
	Section string
	// Key is empty for a fault of a whole section or file.
	Key   string
	Value string
	// Allowed says what values are accepted.
	Allowed string
}

// Error returns one line that names source, section, key, value and what is allowed.
func (se *SettingError) Error() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s: ", se.Source)
	if se.Section != "" {
		fmt.Fprintf(&sb, "[%s] ", printable(se.Section))
	}
	if se.Key != "" {
		fmt.Fprintf(&sb, "%s = %q: ", printable(se.Key), se.Value)
	}
	sb.WriteString(se.Allowed)
	return sb.String()
}

// Is reports that the error is ErrBadSetting.
func (se *SettingError) Is(target error) bool { return target == ErrBadSetting }

// printable keeps the message on one line whatever the file holds.
func printable(text string) string {
	quoted := fmt.Sprintf("%q", text)
	return quoted[1 : len(quoted)-1]
}

// options are the flags that are not settings.
type options struct {
	Settings   string `long:"settings" value-name:"FILE" description:"Settings file (INI)"`
	Check      bool   `long:"check" description:"Check the settings and exit"`
	Standalone bool   `long:"standalone" description:"Run with an in-memory emulation of the platform"`
	Version    bool   `long:"version" description:"Print the version and exit"`
}

// given is the value of one setting and where it was found.
type given struct {
	source string
	value  string
}

// Load reads the flags, without the program's name, and the settings file that they name. Flags
// override the file. Errors: ErrBadSetting and ErrHelp.
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
	values := map[string]given{}
	if opt.Settings != "" {
		if values, err = readFile(opt.Settings); err != nil {
			return nil, err
		}
	}
	for id, gv := range flagValues {
		values[id] = gv
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

// parseFlags reads the command line. The table yields one flag for each setting.
func parseFlags(opt *options, args []string) (map[string]given, error) {
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
		return nil, fmt.Errorf("command line: %w: %s", ErrBadSetting, printable(err.Error()))
	}
	if len(rest) > 0 {
		return nil, &SettingError{Source: "command line", Allowed: fmt.Sprintf("%q is not a flag", rest[0])}
	}
	values := map[string]given{}
	for idx, row := range Table {
		if prs.FindOptionByLongName(row.Flag()).IsSet() {
			values[row.id()] = given{"flag --" + row.Flag(), texts.Elem().Field(idx).String()}
		}
	}
	return values, nil
}

// flagStruct returns a struct type with one string for each row of the table, in its order. Package
// flags reads the names of flags from tags; its Group.AddOption panics while parsing in v1.6.1.
func flagStruct() reflect.Type {
	fields := make([]reflect.StructField, len(Table))
	for idx, row := range Table {
		tag := fmt.Sprintf("long:%q value-name:%q description:%q", row.Flag(), row.Type, row.Text)
		fields[idx] = reflect.StructField{
			Name: row.Section + row.Key,
			Type: reflect.TypeFor[string](),
			Tag:  reflect.StructTag(tag),
		}
	}
	return reflect.StructOf(fields)
}

func readFile(path string) (map[string]given, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingError{Source: path, Allowed: printable(err.Error())}
	}
	return parseFile(path, text)
}

// parseFile returns the values of a settings file. Unknown and repeated keys are errors.
func parseFile(path string, text []byte) (map[string]given, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		return nil, &SettingError{Source: path, Allowed: printable(err.Error())}
	}
	values := map[string]given{}
	for _, sec := range file.Sections() {
		if err := readSection(path, sec, values); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func readSection(path string, sec *ini.Section, values map[string]given) error {
	if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
		return nil
	}
	keys, ok := sections()[sec.Name()]
	if !ok {
		return &SettingError{Source: path, Section: sec.Name(), Allowed: "unknown section; allowed are " + sectionNames()}
	}
	for _, key := range sec.Keys() {
		se := &SettingError{Source: path, Section: sec.Name(), Key: key.Name(), Value: key.Value()}
		row, ok := keys[key.Name()]
		if !ok {
			se.Allowed = "unknown key; allowed are " + keyNames(sec.Name())
			return se
		}
		if len(key.ValueWithShadows()) > 1 {
			se.Allowed = "a key is set once"
			return se
		}
		values[row.id()] = given{path, key.Value()}
	}
	return nil
}

// apply stores the values and defaults in the order of the table.
func apply(st *Settings, source string, values map[string]given) error {
	for _, row := range Table {
		gv, ok := values[row.id()]
		if !ok {
			gv = given{source, row.Default}
			if st.Standalone && row.Standalone != "" {
				gv.value = row.Standalone
			}
		}
		if gv.value == "" && row.required(st) {
			return row.fault(gv, "is required: "+row.Allowed)
		}
		if gv.value == "" && !ok {
			continue
		}
		if !row.set(st, gv.value) {
			return row.fault(gv, row.Allowed)
		}
	}
	return nil
}

// validate checks what concerns more than one setting.
func (st *Settings) validate(source string, values map[string]given) error {
	row := rowOf("TLS", "Insecure")
	gv, ok := values[row.id()]
	if !ok {
		gv = given{source, row.Default}
		// A standalone daemon that is given a certificate uses it.
		st.TLS.Insecure = st.TLS.Insecure && st.TLS.Certificate == ""
	}
	loopback := st.Listen.Operators.Addr().IsLoopback() && st.Listen.Peers.Addr().IsLoopback()
	if st.TLS.Insecure && !loopback {
		return row.fault(gv, "true only when Operators and Peers in [Listen] are loopback addresses")
	}
	if !st.TLS.Insecure && !st.TLS.TrustedNetwork && (st.TLS.Certificate == "" || st.TLS.Key == "" || st.TLS.Authority == "") {
		return row.fault(gv, "Certificate, Key and Authority are required, or true on loopback addresses")
	}
	st.Jobs.Lease = min(st.Jobs.Lease, st.Jobs.LongestLease)
	ls := st.Listen
	if ls.Callers == ls.Operators || ls.Callers == ls.Peers || ls.Operators == ls.Peers {
		row = rowOf("Listen", "Peers")
		return row.fault(given{source, ls.Peers.String()}, "Callers, Operators and Peers are three different addresses")
	}
	return nil
}
