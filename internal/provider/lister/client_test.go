package lister_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/requester"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// serve returns a client of a host list with a fixed answer.
func serve(t *testing.T, answer string, lines *int) *lister.Client {
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte(answer)) }))
	t.Cleanup(sv.Close)
	rp := reporter.New(funcr.New(func(string, string) { *lines++ }, funcr.Options{}), meter.New(nil))
	cl := lister.NewClient(requester.New(), netip.MustParseAddrPort(sv.Listener.Addr().String()))
	cl.ReportTo(rp)
	return cl
}

// Guards against one odd worker that hides all others, so that the list is no longer followed.
func TestOddWorker(t *testing.T) {
	const good = `{"Name":"w-1","DataCentre":"stad","Address":"10.0.0.1:80","Capacity":{"Millicores":16000,"MemoryBytes":64000}}`
	for name, odd := range map[string]string{
		"port out of range":   `{"Name":"x","Address":"10.0.0.1:65536"}`,
		"port 0":              `{"Name":"x","Address":"10.0.0.1:0","Capacity":{"Millicores":1}}`,
		"no address":          `{"Name":"x","Capacity":{"Millicores":1}}`,
		"no name":             `{"Address":"10.0.0.1:80","Capacity":{"Millicores":1}}`,
		"number too large":    `{"Name":"x","Address":"10.0.0.1:80","Capacity":{"Millicores":92233720368547758070}}`,
		"number at the limit": `{"Name":"x","Address":"10.0.0.1:80","Capacity":{"Millicores":9223372036854775807}}`,
		"negative number":     `{"Name":"x","Address":"10.0.0.1:80","Capacity":{"Millicores":1,"MemoryBytes":-1}}`,
		"deeply nested":       `{"Name":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"no object":           `7`,
	} {
		t.Run(name, func(t *testing.T) {
			lines := 0
			cl := serve(t, `{"Workers":[`+odd+`,`+good+`]}`, &lines)
			for range 10 {
				wks, err := cl.Workers(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, wks, qt.HasLen, 1)
				qt.Check(t, wks[0].Name, qt.Equals, modeler.WorkerName("w-1"))
			}
			qt.Check(t, lines, qt.Equals, 1)
		})
	}
}

// Guards against one odd host that hides all others.
func TestOddHost(t *testing.T) {
	lines := 0
	cl := serve(t, `{"Hosts":{"a":"Live","b":7,"c":{"d":[]},"e":"Dancing","f":"Leaving"}}`, &lines)
	for range 10 {
		hosts, err := cl.List(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, hosts, qt.DeepEquals, lister.Listing{"a": lister.Live, "f": lister.Leaving})
	}
	qt.Check(t, lines, qt.Equals, 3)
}

// Guards against an answer that ends the process, or a worker that cannot be called.
func FuzzDecodeWorkers(f *testing.F) {
	f.Fuzz(func(t *testing.T, answer []byte) {
		lines := 0
		rp := reporter.New(funcr.New(func(string, string) { lines++ }, funcr.Options{}), meter.New(nil))
		wks, err := lister.DecodeWorkers(answer, rp)
		if err != nil {
			return
		}
		for ix := range wks {
			qt.Assert(t, wks[ix].Check(), qt.IsNil)
		}
		again, err := json.Marshal(lister.WorkersAnswer{Workers: wks})
		qt.Assert(t, err, qt.IsNil)
		second, err := lister.DecodeWorkers(again, rp)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, second, qt.HasLen, len(wks))
	})
}
