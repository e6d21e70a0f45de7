package estimator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
)

// BenchmarkObserve measures an observation with eight best-effort tasks on each of two workers, of 30 images.
func BenchmarkObserve(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	usage := func() []estimator.Usage {
		list := make([]estimator.Usage, 8)
		for ix := range list {
			list[ix] = estimator.Usage{Image: fmt.Sprint("image", rnd.IntN(30)), CPUShare: 0.05 + 0.1*rnd.Float64()}
		}
		return list
	}
	lists := make([][]estimator.Usage, 64)
	for ix := range lists {
		lists[ix] = usage()
	}
	md, now := estimator.New(), time.Now()
	for no := 0; b.Loop(); no++ {
		now = now.Add(time.Millisecond)
		md.Observe("critical", 0.3*rnd.Float64(), estimator.UsageDifference(lists[no%64], lists[no*7%61]), now)
	}
}
