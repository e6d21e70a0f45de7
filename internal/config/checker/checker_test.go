package checker_test

import (
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

func sample(t testing.TB) string {
	doc, err := os.ReadFile("testdata/sahel.ini")
	qt.Assert(t, err, qt.IsNil)
	return string(doc)
}

// Guards against faults that are not detected or are reported without their place. Each case changes
// one line of a valid sample.
func TestFaults(t *testing.T) {
	for _, tc := range []struct{ name, old, now, want string }{
		{"unknown section", "[Team bakers]", "[Crew bakers]", `line 41: [Crew bakers] a section is DataCentre, Host`},
		{"unknown key", "Retired = true", "Retird = true", `line 23: [Host kho-1] Retird = "true": unknown key; allowed are DataCentre, Leaving, Peer, Retired`},
		{"unknown data centre", "DataCentre = khombole", "DataCentre = kombole", `line 21: [Host kho-1] DataCentre = "kombole": the name of a section [DataCentre NAME]`},
		{"missing key", "Peer = 10.0.2.1:7443", "", `line 20: [Host kho-1] the key Peer is required`},
		{"repeated section", "[Host thi-2]", "[Host thi-1]", `line 16: [Host thi-1] a section occurs once; this one begins on line 12`},
		{"repeated key", "Slots = 8", "Slots = 8\nSlots = 9", `line 38: [Runner oven-1] Slots = "9": a key is set once; it is set on line 37`},
		{"address used twice", "Peer = 10.0.1.2:7443", "Peer = 10.0.1.1:7443", `line 18: [Host thi-2] Peer = "10.0.1.1:7443": an address that no other section uses; [Host thi-1]`},
		{"host name as address", "Endpoint = 10.1.1.1:80", "Endpoint = oven:80", `line 36: [Runner oven-1] Endpoint = "oven:80": an IP address and port`},
		{"no slots", "Slots = 8", "Slots = 0", `line 37: [Runner oven-1] Slots = "0": a whole number from 1`},
		{"deadline above call limit", "Deadline = 2s", "Deadline = 31s", `line 28: [Service bakedesk] Deadline = "31s": a duration from 1ms to 20s`},
		{"quota not a number", "Quota = 0.5", "Quota = NaN", `line 42: [Team bakers] Quota = "NaN": a number above 0`},
		{"name with a dot", "[Team bakers]", "[Team ba.kers]", `line 41: [Team ba.kers] a name has 1 to 63`},
		{"short lease", "LeaseTerm = 5m", "LeaseTerm = 1s", `line 45: [Limits] LeaseTerm = "1s": a duration from 10s`},
		{"no equals sign", "Slots = 8", "Slots 8", `line 37: [Runner oven-1] Slots 8 = "": a line is Key = Value`},
		{"too large", "; Sample", "; " + strings.Repeat("x", checker.MaxDocumentBytes), "a document has at most"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			doc := strings.Replace(sample(t), tc.old, tc.now, 1)
			_, err := checker.Parse([]byte(doc), 1)
			qt.Assert(t, errors.Is(err, checker.ErrInvalid), qt.IsTrue)
			qt.Assert(t, err.Error(), qt.Contains, tc.want)
		})
	}
	t.Run("all faults at once", func(t *testing.T) {
		doc := strings.NewReplacer("Slots = 8", "Slots = 0", "Quota = 0.5", "Quota = 2").Replace(sample(t))
		_, err := checker.Parse([]byte(doc), 1)
		var list checker.FaultList
		qt.Assert(t, errors.As(err, &list), qt.IsTrue)
		qt.Assert(t, list, qt.HasLen, 2)
	})
}

// Guards against settings that are read into the wrong field.
func TestParse(t *testing.T) {
	cfg, err := checker.Parse([]byte(sample(t)), 7)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, cfg.Revision, qt.Equals, modeler.Revision(7))
	qt.Check(t, cfg.DataCentres, qt.HasLen, 2)
	qt.Check(t, cfg.HostsIn("khombole"), qt.HasLen, 0, qt.Commentf("the only host is retired"))
	svc, _ := cfg.Service("bakedesk")
	qt.Check(t, svc.CallLimit, qt.Equals, 20*time.Second)
	qt.Check(t, svc.Deadline, qt.Equals, 2*time.Second)
	qt.Check(t, cfg.Runners[0].Connections, qt.Equals, 64)
	qt.Check(t, cfg.Limits.LeaseTerm, qt.Equals, 5*time.Minute)
	qt.Check(t, cfg.Limits.HoldersPerRunner, qt.Equals, 4)
}

// Guards against a drain that changes or loses other lines of the document, or that Parse doesn't
// see.
func TestMarkLeaving(t *testing.T) {
	doc := sample(t)
	cfg, err := checker.Parse([]byte(doc), 1)
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range []struct {
		kind, name, want string
		leaving          func(cfg *modeler.Configuration) bool
	}{
		{"Host", "thi-1", "+ [Host thi-1] Leaving = true\n", func(cfg *modeler.Configuration) bool { return cfg.HostLeaving("thi-1") && !cfg.HostLeaving("thi-2") }},
		{"Runner", "oven-1", "+ [Runner oven-1] Leaving = true\n", func(cfg *modeler.Configuration) bool { return cfg.Runners[0].Leaving }},
		{"Worker", "mill-1", "+ [Worker mill-1]\n+ [Worker mill-1] Leaving = true\n", func(cfg *modeler.Configuration) bool { return len(cfg.LeavingWorkers) == 1 }},
	} {
		for _, text := range []string{doc, strings.TrimSpace(doc), strings.ReplaceAll(doc, "\n", "\r\n"), string(checker.Encode(cfg))} {
			t.Run(tc.kind, func(t *testing.T) {
				marked, err := checker.MarkLeaving([]byte(text), tc.kind, tc.name, true)
				qt.Assert(t, err, qt.IsNil)
				again, err := checker.MarkLeaving(marked, tc.kind, tc.name, true)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, string(again), qt.Equals, string(marked))
				qt.Check(t, checker.Diff([]byte(text), marked), qt.Contains, tc.want)
				now, err := checker.Parse(marked, 2)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, tc.leaving(now), qt.IsTrue)
				back, err := checker.MarkLeaving(marked, tc.kind, tc.name, false)
				qt.Assert(t, err, qt.IsNil)
				now, err = checker.Parse(back, 3)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, string(checker.Encode(now)), qt.Equals, string(checker.Encode(cfg)))
				if !strings.Contains(text, "Leaving") {
					qt.Check(t, strings.TrimSpace(string(back)), qt.Equals, strings.TrimSpace(text))
				}
			})
		}
	}
	for _, name := range []string{"thi-9", "", "thi-1]\n[Host thi-2"} {
		_, err := checker.MarkLeaving([]byte(doc), "Host", name, true)
		qt.Check(t, errors.Is(err, checker.ErrNoSection), qt.IsTrue)
	}
}

// Guards against changes that are missing from the diff that an operator reviews.
func TestDiff(t *testing.T) {
	doc := sample(t)
	now := strings.NewReplacer("Slots = 8", "Slots = 6", "[Team bakers]\nQuota = 0.5", "[Team millers]\nQuota = 0.5").Replace(doc)
	qt.Check(t, checker.Diff([]byte(doc), []byte("; a comment\n"+doc)), qt.Equals, "")
	qt.Check(t, checker.Diff([]byte(doc), []byte(now)), qt.Equals,
		"- [Runner oven-1] Slots = 8\n+ [Runner oven-1] Slots = 6\n- [Team bakers]\n+ [Team millers]\n+ [Team millers] Quota = 0.5\n")
}

// Guards against panics and against an encoding that parses as a different configuration.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample(f)))
	f.Add([]byte("[DataCentre a]\n[Host h]\nDataCentre = a\nPeer = [fd00::1]:1\n"))
	f.Add([]byte("Key = 1\n[\n[]\n= 2\n[Limits x]\nShortReserve = 1e-400"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		cfg, err := checker.Parse(doc, 3)
		if err != nil {
			qt.Assert(t, errors.Is(err, checker.ErrInvalid), qt.IsTrue)
			return
		}
		enc := checker.Encode(cfg)
		again, err := checker.Parse(enc, 3)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Limits, qt.Equals, cfg.Limits)
		qt.Assert(t, string(checker.Encode(again)), qt.Equals, string(enc))
	})
}

// Guards against moving a runner to another data centre, where entry hosts of both data centres could
// use its slots at the same time.
func TestValidateTransition(t *testing.T) {
	at := func(name, dc, endpoint string) *modeler.Configuration {
		return &modeler.Configuration{Runners: []modeler.Runner{{
			Name: modeler.RunnerName(name), DataCentre: modeler.DataCentreName(dc), Endpoint: netip.MustParseAddrPort(endpoint),
		}}}
	}
	from := at("runner-1", "stad", "10.0.0.1:80")
	for _, tc := range []struct {
		name    string
		to      *modeler.Configuration
		refused bool
	}{
		{"unchanged", from, false},
		{"removed", &modeler.Configuration{}, false},
		{"another endpoint", at("runner-1", "stad", "10.0.0.2:80"), false},
		{"moved", at("runner-1", "jaeren", "10.0.0.2:80"), true},
		{"endpoint under another name", at("runner-2", "jaeren", "10.0.0.1:80"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := checker.ValidateTransition(from, tc.to)
			qt.Check(t, errors.Is(err, checker.ErrInvalid), qt.Equals, tc.refused, qt.Commentf("%v", err))
		})
	}
}
