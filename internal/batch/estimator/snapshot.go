package estimator

import (
	"encoding/json"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// kindsPerChunk and pairsPerChunk keep an exported chunk below half a megabyte.
	kindsPerChunk = 200
	pairsPerChunk = 4000
)

// document is one chunk of the exported state. It names kinds, because numbers are not stable.
type document struct {
	Kinds []kindDocument `json:",omitempty"`
	Pairs []pairDocument `json:",omitempty"`
}

type kindDocument struct {
	Name       string
	Millicores [2]sparse
	Memory     [2]sparse
	RunTime    [2]sparse
	Victim     meanDocument
	Aggressor  meanDocument
}

// sparse lists the values of a histogram that have counts.
type sparse [][2]int64

type meanDocument struct{ Value, Weight float64 }

type pairDocument struct {
	Victim    string
	Aggressor string
	Mean      meanDocument
}

// Export encodes what was learned in chunks below half a megabyte.
func (es *Estimator) Export() ([][]byte, error) {
	var docs []document
	for first := 1; first < len(es.kinds); first += kindsPerChunk {
		var doc document
		for _, pf := range es.kinds[first:min(first+kindsPerChunk, len(es.kinds))] {
			doc.Kinds = append(doc.Kinds, pf.export())
		}
		docs = append(docs, doc)
	}
	var doc document
	for key, pr := range es.pairs {
		doc.Pairs = append(doc.Pairs, pairDocument{
			es.kinds[key>>32].name, es.kinds[uint32(key)].name, pr.document(),
		})
		if len(doc.Pairs) == pairsPerChunk {
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

// Import adds a chunk that Export has encoded to an estimator that has observed nothing yet.
func (es *Estimator) Import(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	var doc document
	if err := json.Unmarshal(chunk, &doc); err != nil {
		return fmt.Errorf("decode estimates: %w", err)
	}
	for _, kd := range doc.Kinds {
		es.kinds[es.Kind(kd.Name)].load(kd)
	}
	for _, pd := range doc.Pairs {
		key := keyOf(es.Kind(pd.Victim), es.Kind(pd.Aggressor))
		es.pairs[key] = &pair{mean{pd.Mean.Value, pd.Mean.Weight}}
	}
	return nil
}

func (pf *profile) export() kindDocument {
	return kindDocument{
		Name:       pf.name,
		Millicores: pf.millicores.export(),
		Memory:     pf.memory.export(),
		RunTime:    pf.runTime.export(),
		Victim:     pf.victim.document(),
		Aggressor:  pf.aggressor.document(),
	}
}

func (pf *profile) load(kd kindDocument) {
	pf.millicores.load(kd.Millicores)
	pf.memory.load(kd.Memory)
	pf.runTime.load(kd.RunTime)
	pf.victim = mean{kd.Victim.Value, kd.Victim.Weight}
	pf.aggressor = mean{kd.Aggressor.Value, kd.Aggressor.Weight}
}

func (mn mean) document() meanDocument { return meanDocument{mn.value, mn.weight} }

func (sr *series) export() [2]sparse {
	return [2]sparse{exportHistogram(sr.current), exportHistogram(sr.previous)}
}

func exportHistogram(hg *hdrhistogram.Histogram) sparse {
	var sp sparse
	if hg == nil {
		return sp
	}
	for _, bar := range hg.Distribution() {
		if bar.Count > 0 {
			sp = append(sp, [2]int64{bar.To, bar.Count})
		}
	}
	return sp
}

func (sr *series) load(in [2]sparse) {
	sr.current, sr.previous = loadHistogram(in[0]), loadHistogram(in[1])
}

func loadHistogram(sp sparse) *hdrhistogram.Histogram {
	if len(sp) == 0 {
		return nil
	}
	hg := newHistogram()
	for _, bar := range sp {
		_ = hg.RecordValues(min(bar[0], maxValue), bar[1])
	}
	return hg
}
