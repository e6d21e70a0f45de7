// Package emulator holds small in-memory stand-ins for the platform: the key-value service, the
// workers, the host list and the runners, with fault injection and with oracles for tests.
package emulator

import (
	"time"
)

// Options describes an emulated platform.
type Options struct {
	// Behaviour applies to the tasks on all workers.
	Behaviour Behaviour
	// ListLag is the age of the host list.
	ListLag time.Duration
}

// Platform is an emulated platform. Its parts share one table of fault switches.
type Platform struct {
	Faults  *Faults
	Store   *Store
	Workers *Workers
	Hosts   *Hosts
}

// New returns a platform with an empty store and without workers and hosts.
func New(op Options) *Platform {
	fts := new(Faults)
	wks := NewWorkers(fts, op.Behaviour)
	return &Platform{
		Faults:  fts,
		Store:   NewStore(fts),
		Workers: wks,
		Hosts:   NewHosts(fts, wks, op.ListLag),
	}
}
