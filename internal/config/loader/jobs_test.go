package loader

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// jobFile has the settings of a host on the users' platform, as the platform renders deploy/settings.ini.
const jobFile = "testdata/job-host.ini"

// loadJobs loads a copy of jobFile in which now replaces the first occurrence of old.
func loadJobs(t *testing.T, old, now string, args ...string) (*Settings, error) {
	t.Helper()
	text, err := os.ReadFile(jobFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(text), old), qt.IsTrue)
	path := filepath.Join(t.TempDir(), "host.ini")
	qt.Assert(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, now, 1)), 0o600), qt.IsNil)
	return Load(append([]string{"--check", "--settings", path}, args...))
}

// Guards against settings of a job installation that pass the check and then fail at the start, are silently not
// followed, or are reported without file, section, key, value or what is allowed.
func TestInvalidJobSettings(t *testing.T) {
	for _, tc := range []struct {
		name, old, now, want string
		args                 []string
	}{
		{"certificates are not used", "TrustedNetwork = true", "Certificate = a\nKey = b\nAuthority = c", `host.ini: [TLS] TrustedNetwork = "false": must be true where [Jobs] Enabled is`, nil},
		{"network not trusted", "TrustedNetwork = true", "TrustedNetwork = false\nCertificate = a\nKey = b\nAuthority = c", `host.ini: [TLS] TrustedNetwork = "false": must be true`, nil},
		{"standalone", "", "", `host.ini: [Jobs] Enabled = "true": true is not allowed with --standalone`, []string{"--standalone", "--insecure=false"}},
		{"standalone by flag", "Enabled = true", "Enabled = false", `flag --jobs-enabled: [Jobs] Enabled = "true": true is not allowed with --standalone`, []string{"--standalone", "--jobs-enabled=true", "--insecure=false"}},
		{"readiness on the callers' address", "10.1.0.13:8167", "10.1.0.13:8161", `host.ini: [Listen] Readiness = "10.1.0.13:8161": must differ from Callers`, nil},
		{"readiness on the operators' address", "10.1.0.13:8167", "10.1.0.13:7721", `[Listen] Readiness = "10.1.0.13:7721": must differ`, nil},
		{"readiness missing", "Readiness = 10.1.0.13:8167", "", `host.ini: [Listen] Readiness = "": is required: an IP address and port`, nil},
		{"peers on all addresses", "Peers = 10.1.0.13:7720", "Peers = 0.0.0.0:7720", `host.ini: [Listen] Peers = "0.0.0.0:7720": an IP address of this host`, nil},
		{"store missing", "Store = 10.200.1.7:8169", "", `host.ini: [Platform] Store = "": is required`, nil},
		{"policy", "10.200.1.9:8169", "advice", `host.ini: [Platform] Policy = "advice": an IP address and port`, nil},
		{"enabled", "Enabled = true", "Enabled = yes", `host.ini: [Jobs] Enabled = "yes": true or false`, nil},
		{"lease", "LongestLease = 10000ms", "LongestLease = 10000", `host.ini: [Jobs] LongestLease = "10000": a duration from 1ms to 1h`, nil},
		{"stop limit", "StopLimit = 400ms", "StopLimit = 0s", `host.ini: [Jobs] StopLimit = "0s": a duration from`, nil},
		{"evacuation limit", "[Host]", "EvacuationLimit = 5000\n[Host]", `host.ini: [Jobs] EvacuationLimit = "5000": 0s or a duration from 3.5s to 1h`, nil},
		{"evacuation limit that cannot be kept", "[Host]", "EvacuationLimit = 3499ms\n[Host]", `host.ini: [Jobs] EvacuationLimit = "3499ms": 0s or a duration from 3.5s to 1h`, nil},
		{"negative evacuation limit", "[Host]", "EvacuationLimit = -5s\n[Host]", `[Jobs] EvacuationLimit = "-5s": 0s or a duration`, nil},
		{"factor", "FarFactor = 1.5", "FarFactor = NaN", `host.ini: [Jobs] FarFactor = "NaN": a number from 0.001 to 1000`, nil},
		{"shortage policy", "FarFactor = 1.5", "ShortagePolicy = value", `host.ini: [Jobs] ShortagePolicy = "value": Deadline or Value`, nil},
		{"refusal", "FarFactor = 1.5", "Refusal = Late", `host.ini: [Jobs] Refusal = "Late": Unstorable or Useless`, nil},
		{"share", "Share = 0.4", "Share = {{limits.cpuShare}}", `host.ini: [Host] Share = "{{limits.cpuShare}}": a number from`, nil},
		{"unknown key", "FarFactor", "NearFactor", `host.ini: [Jobs] NearFactor = "1.5": unknown key; allowed are Enabled, Lease`, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := loadJobs(t, tc.old, tc.now, tc.args...)
			qt.Assert(t, errors.Is(err, ErrBadSetting), qt.IsTrue)
			qt.Check(t, err.Error(), qt.Contains, tc.want)
			qt.Check(t, strings.Contains(err.Error(), "\n"), qt.IsFalse)
		})
	}
}

// Guards against a check that refuses a host of a job installation, or one on loopback without TLS.
func TestJobSettings(t *testing.T) {
	st, err := loadJobs(t, "", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, st.Jobs.Enabled, qt.IsTrue)
	qt.Check(t, st.Jobs.StopLimit, qt.Equals, 400*time.Millisecond)
	qt.Check(t, st.Jobs.ShortagePolicy, qt.Equals, "Deadline")
	qt.Check(t, st.Jobs.RefuseUseless, qt.IsFalse)
	qt.Check(t, st.Platform.Policy, qt.Equals, netip.MustParseAddrPort("10.200.1.9:8169"))
	_, err = loadJobs(t, "TrustedNetwork = true", "Insecure = true", "--listen-peers=127.0.0.1:7720", "--listen-operators=127.0.0.1:7721")
	qt.Check(t, err, qt.IsNil)
	st, err = loadJobs(t, "FarFactor = 1.5", "Refusal = Useless")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, st.Jobs.RefuseUseless, qt.IsTrue)
	// A lease that workers would not accept is reduced.
	st, err = loadJobs(t, "LongestLease = 10000ms", "LongestLease = 5s")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, st.Jobs.Lease, qt.Equals, 5*time.Second)
	qt.Check(t, st.Jobs.EvacuationLimit, qt.Equals, time.Duration(0))
	for text, limit := range map[string]time.Duration{"0s": 0, "3500ms": 3500 * time.Millisecond, "5000ms": 5 * time.Second} {
		st, err = loadJobs(t, "", "", "--jobs-evacuation-limit="+text)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, st.Jobs.EvacuationLimit, qt.Equals, limit)
	}
}

// Guards against a template of the platform's settings that has a key or section which the check refuses, or
// that the test of a rendered file does not have.
func TestTemplateOfThePlatform(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/settings.ini")
	qt.Assert(t, err, qt.IsNil)
	rendered, err := os.ReadFile(jobFile)
	qt.Assert(t, err, qt.IsNil)
	names := func(text []byte) []string {
		var list []string
		for _, match := range regexp.MustCompile(`(?m)^(?:\{\{[^}]*\}\})*(\[\w+\]|\w+ =)|\}\}(\[\w+\])$`).FindAllSubmatch(text, -1) {
			list = append(list, string(match[1])+string(match[2]))
		}
		return list
	}
	qt.Check(t, names(template), qt.DeepEquals, names(rendered))
}

// Guards against a flag in the platform's command line that the program does not know.
func TestCommandLineOfThePlatform(t *testing.T) {
	deployment, err := os.ReadFile("../../../deploy/system.toml")
	qt.Assert(t, err, qt.IsNil)
	known := map[string]bool{"settings": true}
	for _, sg := range Table {
		known[sg.Flag()] = true
	}
	flags := regexp.MustCompile(`--([a-z-]+)=`).FindAllSubmatch(deployment, -1)
	qt.Check(t, len(flags) > 0, qt.IsTrue)
	for _, match := range flags {
		qt.Check(t, known[string(match[1])], qt.IsTrue, qt.Commentf("%s", match[1]))
	}
}
