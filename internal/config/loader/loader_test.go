package loader

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const sampleFile = "testdata/thi-1.ini"

// load loads a copy of the sample file in which now replaces the first occurrence of old.
func load(t *testing.T, old, now string, args ...string) (*Settings, error) {
	text, err := os.ReadFile(sampleFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(text), old), qt.IsTrue)
	path := filepath.Join(t.TempDir(), "host.ini")
	qt.Assert(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, now, 1)), 0o600), qt.IsNil)
	return Load(append([]string{"--settings", path}, args...))
}

// Guards against invalid settings that are accepted or whose error doesn't show the place.
func TestInvalidSettings(t *testing.T) {
	for _, tc := range []struct {
		name, old, now, want string
		args                 []string
	}{
		{"unknown section", "[Log]", "[Logs]", `host.ini: [Logs] unknown section; allowed are Jobs, Host, Listen, Platform, Peers, Log, Limits, TLS`, nil},
		{"unknown key", "Format = json", "Formt = json", `host.ini: [Log] Formt = "json": unknown key; allowed are Format`, nil},
		{"key before sections", "[Host]", "Name = a\n[Host]", `host.ini: [DEFAULT] unknown section`, nil},
		{"key twice", "Format = json", "Format = json\nFormat = json", `host.ini: [Log] Format = "json": a key may be set only once`, nil},
		{"no equals sign", "Format = json", "Format", `host.ini: key-value delimiter not found`, nil},
		{"host name as address", "Store = 10.9.0.1:2379", "Store = store:2379", `host.ini: [Platform] Store = "store:2379": an IP address and port`, nil},
		{"missing", "Store = 10.9.0.1:2379", "", `host.ini: [Platform] Store = "": is required: an IP address and port`, nil},
		{"peer", "10.0.2.1:7443", "10.0.2.1", `[Peers] Addresses = "10.0.1.2:7443, 10.0.2.1": an IP address`, nil},
		{"duration", "DrainLimit = 45s", "DrainLimit = 45", `host.ini: [Limits] DrainLimit = "45": a duration from`, nil},
		{"insecure away from loopback", "[TLS]", "[TLS]\nInsecure = true", `host.ini: [TLS] Insecure = "true": true is allowed only when`, nil},
		{"certificate missing", "Certificate = ", "; ", `host.ini: [TLS] Insecure = "false": Certificate, Key and Authority are required`, nil},
		{"same address", "10.0.1.1:7443", "10.0.1.1:8080", "must be three different addresses", nil},
		{"flag value", "", "", `flag --log-format: [Log] Format = "xml": json or text`, []string{"--log-format=xml"}},
		{"unknown flag", "", "", "unknown flag `listen'", []string{"--listen=1"}},
		{"argument", "", "", `"start" is not a flag`, []string{"start"}},
		{"no file", "", "", "no such file", []string{"--settings", "testdata/none.ini"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := load(t, tc.old, tc.now, tc.args...)
			qt.Assert(t, errors.Is(err, ErrBadSetting), qt.IsTrue)
			qt.Check(t, err.Error(), qt.Contains, tc.want)
			qt.Check(t, strings.Contains(err.Error(), "\n"), qt.IsFalse)
		})
	}
}

// Guards against a flag that does not override the file, and against missing defaults.
func TestLoad(t *testing.T) {
	st, err := load(t, "", "", "--limits-drain-limit=50s", "--check")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, st.Check, qt.IsTrue)
	qt.Check(t, st.Limits.DrainLimit, qt.Equals, 50*time.Second)
	qt.Check(t, st.Limits.StoreTimeout, qt.Equals, 2*time.Second)
	qt.Check(t, st.Peers, qt.HasLen, 2)
	qt.Check(t, string(st.Host.DataCentre), qt.Equals, "thies-centre")
	t.Run("standalone", func(t *testing.T) {
		st, err := Load([]string{"--standalone"})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, st.TLS.Insecure, qt.IsTrue)
		qt.Check(t, st.Listen.Callers.Addr().IsLoopback(), qt.IsTrue)
		st, err = load(t, "", "", "--standalone")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, st.TLS.Insecure, qt.IsFalse, qt.Commentf("the file has a certificate"))
	})
	t.Run("help names every setting", func(t *testing.T) {
		_, err := Load([]string{"--help"})
		qt.Assert(t, errors.Is(err, ErrHelp), qt.IsTrue)
		for _, sg := range Table {
			qt.Check(t, err.Error(), qt.Contains, "--"+sg.Flag()+"=")
		}
	})
}

// Guards against panics and against error texts of more than one line.
func FuzzParseFile(f *testing.F) {
	text, err := os.ReadFile(sampleFile)
	qt.Assert(f, err, qt.IsNil)
	f.Add(text)
	f.Add([]byte("[Log]\nFormat = %(Format)s\n[Peers.x]\n\"\"\"=\n\\"))
	f.Fuzz(func(t *testing.T, text []byte) {
		values, err := parseFile("host.ini", text)
		if err == nil {
			err = apply(&Settings{}, "host.ini", maps.Clone(values))
		}
		if err == nil {
			return
		}
		qt.Assert(t, errors.Is(err, ErrBadSetting), qt.IsTrue)
		qt.Assert(t, strings.Contains(err.Error(), "\n"), qt.IsFalse)
	})
}
