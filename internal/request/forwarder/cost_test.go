package forwarder

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkForward reports the time that forwarding adds to a direct call to the same runner, at the median
// and the 99th percentile. Direct and forwarded calls alternate, so that both run under the same conditions.
func BenchmarkForward(b *testing.B) {
	for _, bc := range []struct {
		name    string
		callers int
		body    string
	}{{"one caller", 1, ""}, {"16 callers", 16, ""}, {"one caller, 64 KB body", 1, strings.Repeat("x", 64<<10)}} {
		b.Run(bc.name, func(b *testing.B) {
			fr := newFakeRunner(b, echo)
			en := newTestEntry(b, entryOptions{slots: 32, limit: 30 * time.Second}, fr)
			urls := []string{"http://" + fr.ln.Addr().String() + "/x", en.callers.URL + "/tidebook/x"}
			lats := make([][]time.Duration, 2)
			var mu sync.Mutex
			var wg sync.WaitGroup
			for range bc.callers {
				wg.Go(func() {
					cl := &http.Client{Transport: &http.Transport{}}
					defer cl.CloseIdleConnections()
					for ix := range 2 * max(200, b.N/bc.callers) {
						took := timeCall(b, cl, urls[ix%2], bc.body)
						mu.Lock()
						lats[ix%2] = append(lats[ix%2], took)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			slices.Sort(lats[0])
			slices.Sort(lats[1])
			for _, part := range []struct {
				unit string
				at   int
			}{{"p50", 50}, {"p99", 99}} {
				direct, forwarded := lats[0][len(lats[0])*part.at/100], lats[1][len(lats[1])*part.at/100]
				b.ReportMetric(float64(direct.Microseconds()), part.unit+"-direct-µs")
				b.ReportMetric(float64((forwarded - direct).Microseconds()), part.unit+"-added-µs")
			}
		})
	}
}

func timeCall(tb testing.TB, cl *http.Client, url, body string) time.Duration {
	var rd io.Reader
	method := http.MethodGet
	if body != "" {
		rd, method = strings.NewReader(body), http.MethodPost
	}
	rq, err := http.NewRequest(method, url, rd)
	qt.Check(tb, err, qt.IsNil)
	from := time.Now()
	rp, err := cl.Do(rq)
	if err != nil {
		tb.Error(err)
		return 0
	}
	_, err = io.Copy(io.Discard, rp.Body)
	rp.Body.Close()
	qt.Check(tb, err, qt.IsNil)
	qt.Check(tb, rp.StatusCode, qt.Equals, 200)
	return time.Since(from)
}
