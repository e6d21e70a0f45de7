package tracker

import (
	"errors"
	"flag"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
)

func init() {
	// A fixed seed makes runs repeatable. Command-line flags override it.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against an applied delta that differs from the encoded document, for any base.
func TestPack(t *testing.T) {
	text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\n")), 0, 12)
	rapid.Check(t, func(rt *rapid.T) {
		base, doc := text.Draw(rt, "base"), text.Draw(rt, "document")
		got, err := applyDelta(base, encodeDelta(base, doc))
		if err != nil || !slices.Equal(got, doc) {
			rt.Fatalf("got %q, %v", got, err)
		}
	})
}

// Guards against accepting a wrong or oversized document from a response that is corrupt or encodes
// a delta to another base.
func TestUnpackDamaged(t *testing.T) {
	base, doc := []byte("[DataCentre a]\n[DataCentre b]\n"), []byte("[DataCentre a]\n[DataCentre c]\n")
	huge := encodeDelta(nil, make([]byte, maxDocumentBytes+1))
	for name, change := range map[string]func(*messenger.FetchResponse){
		"prefix too long":          func(rsp *messenger.FetchResponse) { rsp.Prefix = int64(len(base)) },
		"negative prefix":          func(rsp *messenger.FetchResponse) { rsp.Prefix = -1 },
		"suffix too long":          func(rsp *messenger.FetchResponse) { rsp.Suffix = 1 << 62 },
		"truncated middle":         func(rsp *messenger.FetchResponse) { rsp.Middle = rsp.Middle[:1] },
		"hash of another document": func(rsp *messenger.FetchResponse) { rsp.Hash++ },
		"decompression bomb":       func(rsp *messenger.FetchResponse) { proto.Merge(rsp, huge) },
	} {
		t.Run(name, func(t *testing.T) {
			rsp := encodeDelta(base, doc)
			change(rsp)
			_, err := applyDelta(base, rsp)
			qt.Check(t, errors.Is(err, errCorruptDocument), qt.IsTrue)
		})
	}
	_, err := applyDelta([]byte("another base that is long enough for the prefix"), encodeDelta(base, doc))
	qt.Check(t, errors.Is(err, errCorruptDocument), qt.IsTrue)
}
