package storer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/currantrouter/currantrouter/internal/provider/requester"
)

// Paths of the key-value service's HTTP interface, see docs/platform.md.
const (
	PathGet    = "/store/v1/get"
	PathPut    = "/store/v1/put"
	PathDelete = "/store/v1/delete"
	PathList   = "/store/v1/list"
	PathWait   = "/store/v1/wait"
)

// Codes of the service's error answers.
const (
	CodeNotFound    = "NotFound"
	CodeConflict    = "Conflict"
	CodeTooLarge    = "TooLarge"
	CodeGap         = "Gap"
	CodeUnavailable = "Unavailable"
)

var errorsByCode = map[string]error{
	CodeNotFound:    ErrNotFound,
	CodeConflict:    ErrConflict,
	CodeTooLarge:    ErrTooLarge,
	CodeGap:         ErrGap,
	CodeUnavailable: ErrUnavailable,
}

// Bodies of the calls and answers.
type (
	// GetRequest is answered with an Entry.
	GetRequest struct{ Key string }
	// PutRequest is answered with a PutAnswer. An Expected of zero means that the key must not
	// exist.
	PutRequest struct {
		Key      string
		Value    []byte
		Expected int64
	}
	// PutAnswer has the new revision of the key.
	PutAnswer struct{ Revision int64 }
	// DeleteRequest is answered with an empty document.
	DeleteRequest struct {
		Key      string
		Expected int64
	}
	// ListRequest is answered with a ListAnswer. After is exclusive.
	ListRequest struct {
		Prefix string
		After  string
		Limit  int
	}
	// ListAnswer has entries in the order of keys.
	ListAnswer struct{ Entries []Entry }
	// WaitRequest is answered with a WaitAnswer. After is a revision.
	WaitRequest struct {
		Prefix string
		After  int64
	}
	// WaitAnswer has the changed entries and the revision to continue from.
	WaitAnswer struct {
		Entries  []Entry
		Revision int64
	}
)

// Client calls the key-value service over HTTP. It never repeats a call. It is safe for concurrent
// use.
type Client struct {
	requester *requester.Requester
	address   netip.AddrPort
}

// NewClient returns a client of the service at the address.
func NewClient(rr *requester.Requester, address netip.AddrPort) *Client {
	return &Client{requester: rr, address: address}
}

// Get returns the entry of a key. Errors: ErrNotFound, ErrUnavailable.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	var en Entry
	err := cl.read(ctx, PathGet, GetRequest{key}, &en)
	return en, err
}

// Put writes a key whose revision is the expected one, zero for a key that must not exist, and
// returns the new revision. Errors: ErrConflict, ErrTooLarge, ErrUnavailable, ErrResultUnknown.
func (cl *Client) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var as PutAnswer
	err := cl.write(ctx, PathPut, PutRequest{key, value, expected}, &as)
	return as.Revision, err
}

// Delete removes a key whose revision is the expected one. Errors: ErrConflict, also for a key
// that does not exist, ErrUnavailable, ErrResultUnknown.
func (cl *Client) Delete(ctx context.Context, key string, expected int64) error {
	return cl.write(ctx, PathDelete, DeleteRequest{key, expected}, nil)
}

// List returns at most limit entries with the prefix in the order of keys, beginning behind the
// key after. Fewer entries than limit do not mean the end, none do. Errors: ErrUnavailable.
func (cl *Client) List(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	var as ListAnswer
	err := cl.read(ctx, PathList, ListRequest{prefix, after, limit}, &as)
	return as.Entries, err
}

// Wait returns the entries with the prefix that changed after the revision and the revision to
// continue from. It returns no entry when nothing changed for the service's time limit. Errors:
// ErrGap, ErrUnavailable.
func (cl *Client) Wait(ctx context.Context, prefix string, after int64) ([]Entry, int64, error) {
	var as WaitAnswer
	if err := cl.read(ctx, PathWait, WaitRequest{prefix, after}, &as); err != nil {
		return nil, after, err
	}
	return as.Entries, as.Revision, nil
}

// write makes a call whose effect is unknown when its answer is lost.
func (cl *Client) write(ctx context.Context, path string, in, out any) error {
	return classify(cl.requester.Call(ctx, cl.address, path, in, out), ErrResultUnknown)
}

// read makes a call without effect, for which a lost answer means ErrUnavailable.
func (cl *Client) read(ctx context.Context, path string, in, out any) error {
	return classify(cl.requester.Call(ctx, cl.address, path, in, out), ErrUnavailable)
}

// classify returns the error of a call. It wraps one that came after the call was sent in otherwise.
func classify(err, otherwise error) error {
	var fl *requester.Failure
	switch {
	case err == nil:
		return nil
	case errors.Is(err, requester.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.As(err, &fl) && errorsByCode[fl.Code] != nil:
		return errorsByCode[fl.Code]
	}
	return fmt.Errorf("%w: %w", otherwise, err)
}
