package estimator

import (
	"encoding/json"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxKindsPerChunk keeps an exported chunk of kinds below half a megabyte.
	maxKindsPerChunk = 200
	// maxPairsPerChunk keeps an exported chunk of pairs below half a megabyte.
	maxPairsPerChunk = 4000
)

// document is one chunk of the exported state. Kinds are identified by name, because their numbers
// are not stable across restarts.
type document struct {
	Kinds []kindDocument `json:",omitempty"`
	Pairs []pairDocument `json:",omitempty"`
}

type kindDocument struct {
	Name       string
	Millicores [2]sparseHistogram
	Memory     [2]sparseHistogram
	RunTime    [2]sparseHistogram
	Victim     meanDocument
	Aggressor  meanDocument
}

// sparseHistogram lists the pairs of value and count of a histogram whose count is positive.
type sparseHistogram [][2]int64

type meanDocument struct{ Value, Weight float64 }

type pairDocument struct {
	Victim    string
	Aggressor string
	Mean      meanDocument
}

// Export encodes the measurements as JSON in chunks below half a megabyte.
func (es *Estimator) Export() ([][]byte, error) {
	var docs []document
	for first := 1; first < len(es.stats); first += maxKindsPerChunk {
		var doc document
		for _, ks := range es.stats[first:min(first+maxKindsPerChunk, len(es.stats))] {
			doc.Kinds = append(doc.Kinds, ks.export())
		}
		docs = append(docs, doc)
	}
	var doc document
	for key, pr := range es.pairs {
		doc.Pairs = append(doc.Pairs, pairDocument{
			es.stats[key>>32].name, es.stats[uint32(key)].name, pr.document(),
		})
		if len(doc.Pairs) == maxPairsPerChunk {
			docs = append(docs, doc)
			doc = document{}
		}
	}
	chunks := make([][]byte, 0, len(docs)+1)
	for _, doc := range append(docs, doc) {
		data, err := json.Marshal(doc)
		if err != nil {
			return nil, fmt.Errorf("encode estimates: %w", err)
		}
		chunks = append(chunks, data)
	}
	return chunks, nil
}

// Import restores a chunk that Export has encoded. It must precede the first observation.
func (es *Estimator) Import(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	var doc document
	if err := json.Unmarshal(chunk, &doc); err != nil {
		return fmt.Errorf("decode estimates: %w", err)
	}
	for _, kd := range doc.Kinds {
		es.stats[es.Kind(kd.Name)].restore(kd)
	}
	for _, pd := range doc.Pairs {
		key := newPairKey(es.Kind(pd.Victim), es.Kind(pd.Aggressor))
		es.pairs[key] = &pair{mean{pd.Mean.Value, pd.Mean.Weight}}
	}
	return nil
}

func (ks *kindStats) export() kindDocument {
	return kindDocument{
		Name:       ks.name,
		Millicores: ks.millicores.export(),
		Memory:     ks.memory.export(),
		RunTime:    ks.runTime.export(),
		Victim:     ks.asVictim.document(),
		Aggressor:  ks.asAggressor.document(),
	}
}

func (ks *kindStats) restore(kd kindDocument) {
	ks.millicores.restore(kd.Millicores)
	ks.memory.restore(kd.Memory)
	ks.runTime.restore(kd.RunTime)
	ks.asVictim = mean{kd.Victim.Value, kd.Victim.Weight}
	ks.asAggressor = mean{kd.Aggressor.Value, kd.Aggressor.Weight}
}

func (mn mean) document() meanDocument { return meanDocument{mn.value, mn.weight} }

func (wh *windowedHistogram) export() [2]sparseHistogram {
	return [2]sparseHistogram{exportHistogram(wh.current), exportHistogram(wh.previous)}
}

func exportHistogram(hg *hdrhistogram.Histogram) sparseHistogram {
	var sp sparseHistogram
	if hg == nil {
		return sp
	}
	for _, bucket := range hg.Distribution() {
		if bucket.Count > 0 {
			sp = append(sp, [2]int64{bucket.To, bucket.Count})
		}
	}
	return sp
}

func (wh *windowedHistogram) restore(in [2]sparseHistogram) {
	wh.current, wh.previous = importHistogram(in[0]), importHistogram(in[1])
}

func importHistogram(sp sparseHistogram) *hdrhistogram.Histogram {
	if len(sp) == 0 {
		return nil
	}
	hg := newHistogram()
	for _, bucket := range sp {
		_ = hg.RecordValues(min(bucket[0], maxHistogramValue), bucket[1])
	}
	return hg
}
