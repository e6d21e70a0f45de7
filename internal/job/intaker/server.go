package intaker

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/subscriber"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Server implements messenger.Jobs, the Twirp service that an entry host offers the others.
type Server struct {
	intaker    *Intaker
	elector    *elector.Elector
	subscriber *subscriber.Subscriber
}

// NewServer returns a server that passes requests to the given parts of its host.
func NewServer(it *Intaker, el *elector.Elector, sb *subscriber.Subscriber) *Server {
	return &Server{it, el, sb}
}

var errNotLeading = twirp.NewError(twirp.FailedPrecondition, "host does not lead")

// Greet implements messenger.Jobs.
func (sv *Server) Greet(_ context.Context, gr *messenger.Greeting) (*messenger.Greeting, error) {
	return sv.elector.HandleGreeting(gr), nil
}

// Resign implements messenger.Jobs.
func (sv *Server) Resign(ctx context.Context, gr *messenger.Greeting) (*messenger.Done, error) {
	if err := sv.elector.HandleResignation(ctx, gr); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &messenger.Done{}, nil
}

// Submit implements messenger.Jobs. It does not forward the job to another host.
func (sv *Server) Submit(ctx context.Context, doc *messenger.JobDocument) (*messenger.Done, error) {
	jb, err := keeper.Decode(doc.Document)
	if err != nil {
		return nil, twirp.InvalidArgumentError("document", err.Error())
	}
	sv.intaker.noteSubmission(jb.ID)
	err = callWithTimeout(ctx, storeCallTimeout, func(ctx context.Context) error { return sv.intaker.op.JobStore.Submit(ctx, jb) })
	if err != nil {
		return nil, storeError(err)
	}
	sv.intaker.notify(&messenger.StoredChange{Id: string(jb.ID), Document: doc.Document})
	return &messenger.Done{}, nil
}

// Cancel implements messenger.Jobs.
func (sv *Server) Cancel(ctx context.Context, jn *messenger.JobName) (*messenger.Done, error) {
	id := modeler.JobID(jn.Id)
	err := callWithTimeout(ctx, storeCallTimeout, func(ctx context.Context) error { return sv.intaker.cancel(ctx, id) })
	if err != nil {
		return nil, storeError(err)
	}
	sv.intaker.notify(&messenger.StoredChange{Id: jn.Id})
	return &messenger.Done{}, nil
}

// storeError returns the Twirp error for a failed change. It states to the calling host whether the
// change is certainly not stored.
func storeError(err error) error {
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return twirp.NotFoundError("no such job")
	case errors.Is(err, storer.ErrUnavailable):
		return twirp.NewError(twirp.Unavailable, "store unavailable").WithMeta(nothingStoredMeta, "true")
	}
	return twirp.InternalErrorWith(err)
}

// Notify implements messenger.Jobs.
func (sv *Server) Notify(_ context.Context, ch *messenger.StoredChange) (*messenger.Done, error) {
	dr := sv.intaker.op.Director()
	if dr == nil {
		return nil, errNotLeading
	}
	sv.intaker.Apply(dr, ch)
	return &messenger.Done{}, nil
}

// State implements messenger.Jobs.
func (sv *Server) State(ctx context.Context, jn *messenger.JobName) (*messenger.JobState, error) {
	if sv.intaker.op.Director() == nil && jn.Hops > maxHops {
		return nil, errNotLeading
	}
	st, err := sv.intaker.queryState(ctx, modeler.JobID(jn.Id), jn.Hops)
	switch {
	case errors.Is(err, ErrJobNotFound):
		return nil, twirp.NotFoundError("no such job")
	case err != nil:
		return nil, errNotLeading
	}
	return &messenger.JobState{State: string(st)}, nil
}

// Pending implements messenger.Jobs.
func (sv *Server) Pending(_ context.Context, qn *messenger.QueueName) (*messenger.PendingCount, error) {
	dr := sv.intaker.op.Director()
	if dr == nil {
		return nil, errNotLeading
	}
	jobs, ok := dr.PendingJobs(modeler.QueueName(qn.Name))
	if !ok {
		return nil, errNotLeading
	}
	return &messenger.PendingCount{Jobs: int64(jobs)}, nil
}

// Queues implements messenger.Jobs.
func (sv *Server) Queues(_ context.Context, qr *messenger.QueuesQuery) (*messenger.QueuesDocument, error) {
	answer, err := sv.subscriber.Answer(qr)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return answer, nil
}
