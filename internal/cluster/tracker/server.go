package tracker

import (
	"context"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Documents returns the configuration document in force.
type Documents interface {
	Document() ([]byte, modeler.Revision)
}

// Lender lends slots to peers.
type Lender interface {
	Borrow(context.Context, *messenger.BorrowRequest) (*messenger.BorrowResponse, error)
	Return(context.Context, *messenger.ReturnRequest) (*messenger.ReturnResponse, error)
}

// NewServer returns the peers' interface of a host. A nil lender refuses loans.
func NewServer(_ *Tracker, _ Documents, _ Lender) messenger.Peer { return nil }
