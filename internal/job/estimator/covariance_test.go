package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mapFilter is the filter of one latency-critical image with covariances in a map.
type mapFilter map[[2]string]float64

// observe updates the filter as Model.Observe does. The variances are those with the image itself.
func (mf mapFilter) observe(means map[string]float64, list []Usage, excess float64) {
	total := map[string]float64{}
	residual, residualVariance := excess, noiseVariance
	for _, us := range list {
		residual -= means[us.Image] * us.CPUShare
		for key, cov := range mf {
			if key[0] == us.Image {
				total[key[1]] += cov * us.CPUShare
			}
		}
	}
	for _, us := range list {
		residualVariance += max(0, total[us.Image]*us.CPUShare)
	}
	weight := math.Min(1, maxResidual/math.Abs(residual))
	for image, cov := range total {
		gain := weight * cov / residualVariance
		means[image] = clampInterference(means[image] + gain*residual)
		for other, otherCov := range total {
			key := [2]string{image, other}
			switch mf[key] -= gain * otherCov; {
			case image == other:
				mf[key] = max(minVariance, mf[key])
			case math.Abs(mf[key]) < minCovariance:
				delete(mf, key)
			}
		}
	}
}

// Guards against covariances that are lost or attributed to other images as the sorted lists of them are merged.
func TestCovariancesAsInMap(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 9))
			md, mf, means, now := New(), mapFilter{}, map[string]float64{}, time.Now()
			for range 200 {
				var list []Usage
				for ix := range 12 {
					if rnd.IntN(3) == 0 {
						list = append(list, Usage{fmt.Sprint("image", ix), minCPUShare + 0.3*rnd.Float64()})
					}
				}
				for _, us := range list {
					if _, ok := means[us.Image]; !ok {
						means[us.Image], mf[[2]string{us.Image, us.Image}] = priorInterference, priorVariance
					}
				}
				excess := rnd.Float64() - 0.3
				// No time passes, so that the variances do not grow.
				md.Observe("critical", excess, list, now)
				mf.observe(means, list, excess)
				for image, mean := range means {
					ps := md.pairs[pair{"critical", image}]
					qt.Assert(t, math.Abs(ps.mean-mean) < 1e-6, qt.IsTrue, qt.Commentf("%s: %v, %v", image, ps.mean, mean))
					qt.Assert(t, math.Abs(ps.variance-mf[[2]string{image, image}]) < 1e-6, qt.IsTrue)
				}
			}
		})
	}
}
