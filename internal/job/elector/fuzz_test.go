package elector

import (
	"encoding/json"
	"errors"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against a record that ends the process, or a host that cannot be called.
func FuzzDecodeMember(f *testing.F) {
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		mb, err := decodeMember(storer.Entry{Key: memberPrefix + name, Value: value})
		if err != nil {
			qt.Assert(t, errors.Is(err, ErrInvalidMember), qt.IsTrue)
			return
		}
		qt.Assert(t, mb.Check(), qt.IsNil)
		qt.Assert(t, string(mb.Host), qt.Equals, name)
		again, err := json.Marshal(mb)
		qt.Assert(t, err, qt.IsNil)
		second, err := decodeMember(storer.Entry{Key: memberPrefix + name, Value: again})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, second == mb, qt.IsTrue)
	})
}

// Guards against a message of a peer that ends the process, or a leader that cannot be called.
func FuzzGreeting(f *testing.F) {
	f.Fuzz(func(t *testing.T, message []byte) {
		gr := new(messenger.Greeting)
		if proto.Unmarshal(message, gr) != nil {
			return
		}
		el := New(Options{
			Self:  Member{Host: "self", Boot: "b", Address: netip.MustParseAddrPort("10.0.0.1:80")},
			Store: nil, StoreAge: func() time.Duration { return 0 }, ConfigurationRevision: func() int64 { return 1 },
			OnHigherRevision: func(netip.AddrPort, int64) {},
			OnWorkerFences: func(list []modeler.WorkerFence) {
				for _, wf := range list {
					qt.Assert(t, wf.Check(), qt.IsNil)
				}
			},
			Log: logr.Discard(), Meter: meter.New(nil),
		})
		el.HandleGreeting(gr)
		// Only the state that a message leaves behind matters here.
		_ = el.HandleResignation(t.Context(), gr)
		if leader := el.Leader(); leader != (Leader{}) {
			qt.Assert(t, fleet.CheckAddress(leader.Address), qt.IsNil)
			qt.Assert(t, leader.Epoch > 0 && leader.Epoch <= modeler.MaxEpoch && leader.Host != "", qt.IsTrue)
		}
		for _, mb := range el.members {
			qt.Assert(t, mb.Check(), qt.IsNil)
		}
	})
}
