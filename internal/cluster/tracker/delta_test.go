package tracker

import (
	"errors"
	"flag"
	"math"
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

// Guards against a digest whose start of a process lies so far ahead that no later process of its host
// is ever accepted, and other numbers that leave no room for later ones.
func TestDigestOutOfBounds(t *testing.T) {
	for name, change := range map[string]func(*messenger.HostDigest){
		"start at the limit":            func(dg *messenger.HostDigest) { dg.BootStartedMillis = math.MaxInt64 },
		"sequence at the limit":         func(dg *messenger.HostDigest) { dg.Sequence = math.MaxInt64 },
		"revision at the limit":         func(dg *messenger.HostDigest) { dg.Revision = math.MaxInt64 },
		"settled revision at the limit": func(dg *messenger.HostDigest) { dg.SettledRevision = math.MaxInt64 },
		"epoch at the limit":            func(dg *messenger.HostDigest) { dg.LeaderEpoch = math.MaxInt64 },
	} {
		dg := &messenger.HostDigest{Host: "host-1", DataCentre: "stad", Boot: "b", BootStartedMillis: 1_700_000_000_000, Sequence: 7, Revision: 3}
		qt.Assert(t, validDigest(dg), qt.IsTrue)
		change(dg)
		qt.Check(t, validDigest(dg), qt.IsFalse, qt.Commentf("%s", name))
	}
}
