package tracker

import (
	"context"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Documents returns the configuration document in force.
type Documents interface {
	// Document returns a zero revision when there is none.
	Document() ([]byte, modeler.Revision)
	// Former returns the document of an earlier revision, or nil when it is not kept.
	Former(modeler.Revision) []byte
}

// Lender lends slots to peers.
type Lender interface {
	Borrow(context.Context, *messenger.BorrowRequest) (*messenger.BorrowResponse, error)
	Return(context.Context, *messenger.ReturnRequest) (*messenger.ReturnResponse, error)
}

// server is the peers' interface of a host.
type server struct {
	trk  *Tracker
	docs Documents
	ldr  Lender
}

// NewServer returns the peers' interface of a host. A nil lender refuses loans.
func NewServer(trk *Tracker, docs Documents, ldr Lender) messenger.Peer {
	return &server{trk: trk, docs: docs, ldr: ldr}
}

// Exchange merges a peer's message and answers with this host's own. A message that tells only of
// its sender gets an answer of the same kind.
func (srv *server) Exchange(_ context.Context, req *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	if !valid(req.GetSender()) {
		return nil, twirp.InvalidArgumentError("Sender", "is not a valid digest")
	}
	name := modeler.HostName(req.GetSender().GetHost())
	if name == srv.trk.opt.Self.Name {
		srv.trk.receive(&messenger.ExchangeRequest{Sender: req.GetSender()}, netip.AddrPort{})
		return nil, twirp.InvalidArgumentError("Sender", "has the name of the receiver")
	}
	srv.trk.receive(req, netip.AddrPort{})
	dc := modeler.DataCentreName(req.GetSender().GetDataCentre())
	msg := srv.trk.compose(name, dc, len(req.GetOthers()) == 0 && len(req.GetAges()) == 0)
	rsp := &messenger.ExchangeResponse{
		Sender: msg.GetSender(), Others: msg.GetOthers(), Ages: msg.GetAges(), AgeHosts: msg.GetAgeHosts(),
	}
	if former := srv.trk.conflicting(req.GetSender()); former != nil {
		rsp.Others = append(rsp.Others, former)
	}
	return rsp, nil
}

// conflicting returns the digest of another boot of the sender that this host takes for newer.
func (trk *Tracker) conflicting(sender *messenger.HostDigest) *messenger.HostDigest {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	mb := trk.members[modeler.HostName(sender.GetHost())]
	if mb == nil || string(mb.Boot) == sender.GetBoot() || mb.Boot == "" {
		return nil
	}
	return mb.digest()
}

// Fetch returns the document in force, as a difference if possible, if its revision is high enough.
func (srv *server) Fetch(_ context.Context, req *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	doc, rev := srv.docs.Document()
	if rev == 0 || int64(rev) < req.GetMinimumRevision() {
		return nil, twirp.NotFoundError("no configuration of that revision")
	}
	base := srv.docs.Former(modeler.Revision(req.GetBaseRevision()))
	if xxhash.Sum64(base) != req.GetBaseHash() {
		base = nil
	}
	rsp := pack(base, doc)
	rsp.Revision = int64(rev)
	return rsp, nil
}

// Borrow asks the lender for slots.
func (srv *server) Borrow(ctx context.Context, req *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	if srv.ldr == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host lends nothing")
	}
	return srv.ldr.Borrow(ctx, req)
}

// Return gives slots back to the lender.
func (srv *server) Return(ctx context.Context, req *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	if srv.ldr == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host lends nothing")
	}
	return srv.ldr.Return(ctx, req)
}
