package driver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// load is a set of callers, each of which sends one call after the other, and the balancer, which
// skips hosts that are out of rotation.
type load struct {
	fleet   *fleet
	options options
	client  *http.Client

	mu sync.Mutex
	// outcomes has the outcome of each call with an idempotency key, by key.
	outcomes map[string]modeler.Outcome
	// seconds has the outcomes in each second of the load.
	seconds []outcomeCounts
	// latency has the latencies of answered calls in microseconds.
	latency *hdrhistogram.Histogram
	// mismatched is the number of answers that belong to another call.
	mismatched int
}

// outcomeCounts is the number of calls by outcome.
type outcomeCounts map[modeler.Outcome]int

func newLoad(fl *fleet, op options) *load {
	return &load{
		fleet:   fl,
		options: op,
		client: &http.Client{
			Timeout:   10 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: op.Callers},
		},
		outcomes: map[string]modeler.Outcome{},
		latency:  hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (ld *load) run(ctx context.Context) {
	started := time.Now()
	var wg sync.WaitGroup
	for num := range ld.options.Callers {
		wg.Go(func() {
			for seq := 0; time.Since(started) < ld.options.Duration && ctx.Err() == nil; seq++ {
				ld.sendCall(ctx, started, num, seq)
			}
		})
	}
	wg.Wait()
}

func (ld *load) sendCall(ctx context.Context, started time.Time, num, seq int) {
	hst := ld.fleet.hosts[(num+seq)%len(ld.fleet.hosts)]
	if hst.outOfRotation.Load() {
		return
	}
	id := fmt.Sprintf("call-%d-%d", num, seq)
	keyed := (num*31+seq)%100 < ld.options.Keyed
	sent := time.Now()
	outcome, body := ld.call(ctx, hst, id, keyed)
	ld.record(started, sent, id, keyed, outcome, body)
}

func (ld *load) call(ctx context.Context, hst *host, id string, keyed bool) (modeler.Outcome, string) {
	url := fmt.Sprintf("http://%s/%s/plans", hst.callers, service)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(id))
	if err != nil {
		return modeler.NotRun, ""
	}
	if keyed {
		rq.Header.Set(modeler.HeaderIdempotencyKey, id)
	}
	rs, err := ld.client.Do(rq)
	if err != nil {
		return modeler.Unknown, ""
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return modeler.Unknown, ""
	}
	return modeler.Outcome(rs.Header.Get(modeler.HeaderOutcome)), string(text)
}

func (ld *load) record(started, sent time.Time, id string, keyed bool, outcome modeler.Outcome, body string) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if keyed {
		ld.outcomes[id] = outcome
	}
	slot := int(time.Since(started) / time.Second)
	for len(ld.seconds) <= slot {
		ld.seconds = append(ld.seconds, outcomeCounts{})
	}
	ld.seconds[slot][outcome]++
	if outcome != modeler.Answered {
		return
	}
	// The value is within the range of the histogram, because the client's timeout is shorter.
	_ = ld.latency.RecordValue(time.Since(sent).Microseconds())
	if !strings.HasSuffix(body, id) {
		ld.mismatched++
	}
}
