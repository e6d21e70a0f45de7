package forwarder

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkCall measures a call without a key over loopback, including the caller and the runner.
func BenchmarkCall(b *testing.B) {
	en := newTestEntry(b, entryOptions{slots: 8}, newFakeRunner(b, echo))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	b.ReportAllocs()
	for b.Loop() {
		rp, err := client.Post(en.callers.URL+"/tidebook/plans", "text/plain", strings.NewReader("order"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, rp.Body); err != nil || rp.StatusCode != http.StatusOK {
			b.Fatal(rp.Status, err)
		}
		rp.Body.Close()
	}
}
