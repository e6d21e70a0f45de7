package subscriber

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// peer answers with a fixed document.
type peer struct {
	messenger.Jobs
	document []byte
}

func (pr *peer) Queues(context.Context, *messenger.QueuesQuery) (*messenger.QueuesDocument, error) {
	return &messenger.QueuesDocument{Document: pr.document}, nil
}

// fixture is a subscriber whose log lines are counted, and its only peer.
type fixture struct {
	*Subscriber
	peer  peer
	lines []string
}

func newFixture() *fixture {
	fx := new(fixture)
	lg := funcr.New(func(_, args string) { fx.lines = append(fx.lines, args) }, funcr.Options{})
	entry := ConfigurationEntry{Key: "Queues", Decode: func(value []byte) (*modeler.Configuration, error) {
		if string(value) == "bad" {
			return nil, errors.New("bad configuration")
		}
		return &modeler.Configuration{Revision: int64(len(value))}, nil
	}}
	fx.Subscriber = New(nil, entry, func(netip.AddrPort) messenger.Jobs { return &fx.peer }, lg, meter.New(nil))
	return fx
}

var peerAddress = netip.MustParseAddrPort("10.0.0.9:80")

// fetchDocument makes the peer announce a higher revision and send the document.
func (fx *fixture) fetchDocument(document []byte) {
	fx.peer.document = document
	fx.OnHigherRevision(peerAddress, math.MaxInt64)
	time.Sleep(time.Second)
	synctest.Wait()
}

// Guards against a peer without a configuration, whose empty one makes this host deny all queues.
func TestPeerWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		var none fixture
		none.Subscriber = New(nil, ConfigurationEntry{}, nil, fx.log, meter.New(nil))
		for _, compressed := range []bool{false, true} {
			answer, err := none.Answer(&messenger.QueuesQuery{AcceptsCompressed: compressed})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, answer.Compressed, qt.HasLen, 0)
			fx.fetchDocument(answer.Document)
			qt.Check(t, fx.Current(), qt.IsNil)
		}
	})
}

// Guards against a configuration of a peer that is out of bounds and that no later revision replaces.
func TestPeerConfigurationOutOfBounds(t *testing.T) {
	for name, cfg := range map[string]modeler.Configuration{
		"revision at the limit": {Revision: math.MaxInt64},
		"negative slack":        {Revision: 7, Queues: []modeler.Queue{{Name: "q", Pool: "p", Slack: -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture()
				document, err := json.Marshal(cfg)
				qt.Assert(t, err, qt.IsNil)
				fx.fetchDocument(document)
				fx.applyEntries([]storer.Entry{{Key: "Queues", Value: []byte("12345"), Revision: 1}})
				qt.Check(t, fx.Revision(), qt.Equals, int64(5))
			})
		})
	}
}

// Guards against a refused configuration that is logged at each read or hides the next one.
func TestInvalidConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		for range 50 {
			fx.applyEntries([]storer.Entry{{Key: "Queues", Value: []byte("bad"), Revision: 1}})
			fx.fetchDocument([]byte("{"))
		}
		qt.Check(t, fx.lines, qt.HasLen, 2)
		fx.applyEntries([]storer.Entry{{Key: "Queues", Value: []byte("12345"), Revision: 2}})
		qt.Check(t, fx.Revision(), qt.Equals, int64(5))
	})
}

// slowStore returns an entry after a delay.
type slowStore struct {
	Store
	delay time.Duration
	entry storer.Entry
}

func (ss *slowStore) Get(context.Context, string) (storer.Entry, error) {
	time.Sleep(ss.delay)
	return ss.entry, nil
}

// Guards against a request that waits for the store, is handled with a higher revision, and so makes
// requests that arrived after it and did not wait look as if the host went back to the lower one.
func TestLongRefresh(t *testing.T) {
	for name, tc := range map[string]struct {
		delay   time.Duration
		changes bool
		want    error
	}{
		"short read, new revision":        {100 * time.Millisecond, true, nil},
		"long read, revision in force":    {600 * time.Millisecond, false, nil},
		"long read, new revision":         {600 * time.Millisecond, true, ErrSuperseded},
		"just below the bound of the lag": {maxRefreshLag - time.Millisecond, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture()
				entry := storer.Entry{Key: "Queues", Value: []byte("12345"), Revision: 5}
				fx.applyEntries([]storer.Entry{entry})
				if tc.changes {
					entry.Value, entry.Revision = []byte("1234567"), 7
				}
				fx.store = &slowStore{delay: tc.delay, entry: entry}
				qt.Check(t, fx.Refresh(t.Context()), qt.ErrorIs, tc.want)
				qt.Check(t, fx.Revision(), qt.Equals, int64(len(entry.Value)))
			})
		})
	}
}

// Guards against a document of a peer that ends the process or puts values out of bounds in force.
func FuzzApplyDocument(f *testing.F) {
	f.Fuzz(func(t *testing.T, document []byte) {
		fx := newFixture()
		if fx.applyAnswer(&messenger.QueuesDocument{Document: document}, peerAddress) != nil {
			qt.Assert(t, fx.Current(), qt.IsNil)
			return
		}
		qt.Assert(t, fx.Current().Check(), qt.IsNil)
		for _, compressed := range []bool{false, true} {
			again, err := fx.Answer(&messenger.QueuesQuery{AcceptsCompressed: compressed})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(again.Compressed) > 0, qt.Equals, compressed)
			second := newFixture()
			qt.Assert(t, second.applyAnswer(again, peerAddress), qt.IsNil)
			qt.Assert(t, second.Revision(), qt.Equals, fx.Revision())
		}
	})
}
