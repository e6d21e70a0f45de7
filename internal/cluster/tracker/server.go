package tracker

import (
	"context"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Documents provides the configuration documents that peers fetch.
type Documents interface {
	// Document returns the document in force and its revision, which is zero when there is none.
	Document() ([]byte, modeler.Revision)
	// RecentDocument returns the document of an earlier revision, or nil when it is no longer kept.
	RecentDocument(modeler.Revision) []byte
}

// Lender lends slots to peers.
type Lender interface {
	Borrow(context.Context, *messenger.BorrowRequest) (*messenger.BorrowResponse, error)
	Return(context.Context, *messenger.ReturnRequest) (*messenger.ReturnResponse, error)
}

// server serves the RPCs of peers.
type server struct {
	trk    *Tracker
	docs   Documents
	lender Lender
}

// NewServer returns the service that peers call. A nil lender refuses all loans.
func NewServer(trk *Tracker, docs Documents, lender Lender) messenger.Peer {
	return &server{trk: trk, docs: docs, lender: lender}
}

// Exchange merges a peer's state and responds with this host's state. A request without the state
// of other hosts gets a response without it. The request is rejected when the digest of its sender
// is invalid or has the name of this host.
func (srv *server) Exchange(_ context.Context, req *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	if !validDigest(req.GetSender()) {
		return nil, twirp.InvalidArgumentError("Sender", "is not a valid digest")
	}
	name := modeler.HostName(req.GetSender().GetHost())
	if name == srv.trk.opt.Self.Name {
		srv.trk.receive(&messenger.ExchangeRequest{Sender: req.GetSender()}, netip.AddrPort{})
		return nil, twirp.InvalidArgumentError("Sender", "has the name of the receiver")
	}
	srv.trk.receive(req, netip.AddrPort{})
	dc := modeler.DataCentreName(req.GetSender().GetDataCentre())
	msg := srv.trk.newExchangeRequest(name, dc, len(req.GetOthers()) == 0 && len(req.GetAges()) == 0)
	rsp := &messenger.ExchangeResponse{
		Sender: msg.GetSender(), Others: msg.GetOthers(), Ages: msg.GetAges(), AgeHosts: msg.GetAgeHosts(),
	}
	if newer := srv.trk.newerBootDigest(req.GetSender()); newer != nil {
		rsp.Others = append(rsp.Others, newer)
	}
	return rsp, nil
}

// newerBootDigest returns the digest of another boot of the sending host that this host considers
// newer, or nil when there is none.
func (trk *Tracker) newerBootDigest(sender *messenger.HostDigest) *messenger.HostDigest {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	mb := trk.members[modeler.HostName(sender.GetHost())]
	if mb == nil || string(mb.Boot) == sender.GetBoot() || mb.Boot == "" {
		return nil
	}
	return mb.digest()
}

// Fetch returns the document in force, as a delta if the document that the peer has is still kept.
// It returns a NotFound error when the revision in force is lower than requested.
func (srv *server) Fetch(_ context.Context, req *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	doc, rev := srv.docs.Document()
	if rev == 0 || int64(rev) < req.GetMinimumRevision() {
		return nil, twirp.NotFoundError("no configuration of that revision")
	}
	base := srv.docs.RecentDocument(modeler.Revision(req.GetBaseRevision()))
	if xxhash.Sum64(base) != req.GetBaseHash() {
		base = nil
	}
	rsp := encodeDelta(base, doc)
	rsp.Revision = int64(rev)
	return rsp, nil
}

// Borrow asks the lender for a loan of slots.
func (srv *server) Borrow(ctx context.Context, req *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	if srv.lender == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host lends nothing")
	}
	return srv.lender.Borrow(ctx, req)
}

// Return gives slots of a loan back to the lender.
func (srv *server) Return(ctx context.Context, req *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	if srv.lender == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host lends nothing")
	}
	return srv.lender.Return(ctx, req)
}
