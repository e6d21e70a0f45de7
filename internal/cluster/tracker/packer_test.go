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
	// A fixed seed makes runs repeatable. Flags of the command line override it.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against a document that differs from the peer's, over any change of any base.
func TestPack(t *testing.T) {
	text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\n")), 0, 12)
	rapid.Check(t, func(rt *rapid.T) {
		base, doc := text.Draw(rt, "base"), text.Draw(rt, "document")
		got, err := unpack(base, pack(base, doc))
		if err != nil || !slices.Equal(got, doc) {
			rt.Fatalf("got %q, %v", got, err)
		}
	})
}

// Guards against a wrong or huge document from a message that was damaged or meant for another base.
func TestUnpackDamaged(t *testing.T) {
	base, doc := []byte("[DataCentre a]\n[DataCentre b]\n"), []byte("[DataCentre a]\n[DataCentre c]\n")
	huge := pack(nil, make([]byte, maxDocumentBytes+1))
	for name, change := range map[string]func(*messenger.FetchResponse){
		"prefix too long":   func(rsp *messenger.FetchResponse) { rsp.Prefix = int64(len(base)) },
		"negative prefix":   func(rsp *messenger.FetchResponse) { rsp.Prefix = -1 },
		"suffix too long":   func(rsp *messenger.FetchResponse) { rsp.Suffix = 1 << 62 },
		"middle cut off":    func(rsp *messenger.FetchResponse) { rsp.Middle = rsp.Middle[:1] },
		"hash of another":   func(rsp *messenger.FetchResponse) { rsp.Hash++ },
		"expands to a bomb": func(rsp *messenger.FetchResponse) { proto.Merge(rsp, huge) },
	} {
		t.Run(name, func(t *testing.T) {
			rsp := pack(base, doc)
			change(rsp)
			_, err := unpack(base, rsp)
			qt.Check(t, errors.Is(err, errDamaged), qt.IsTrue)
		})
	}
	_, err := unpack([]byte("another base that is long enough for the prefix"), pack(base, doc))
	qt.Check(t, errors.Is(err, errDamaged), qt.IsTrue)
}
