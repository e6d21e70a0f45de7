// Package spotter decides which waiting long-running tasks have room: their pool has free capacity for two of them, or for a
// gang twice, again and again. Such a task is stalled, whatever keeps it from starting. It has no network.
//
// It answers a leader with up to 12,000 workers and thousands of waiting tasks that looks several times a second while
// it places tasks. So it looks once for each distinct demand, stops at the places that are needed, and bounds the demands
// of a look.
package spotter

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

const (
	// placesPerTask is the number of places for each task that has to start, from which there is room.
	placesPerTask = 2
	// maxRoomGap is the longest time between two looks that find room without which a stall ends. In a full pool, places
	// become free and are taken all the time, so that a task can miss each of them although there always is one.
	maxRoomGap = 1500 * time.Millisecond
	// maxExamined bounds the workers that a look examines for all demands together, and minDemands is the number of
	// demands that it examines whatever the number of workers.
	maxExamined = 400_000
	minDemands  = 32
	// firstReport is how long a task is stalled before it is reported, and reportInterval the time between two reports.
	firstReport    = time.Second
	reportInterval = 5 * time.Second
)

// Worker is a worker that may get tasks, with its free capacity.
type Worker struct {
	Info *modeler.Worker
	// Free is the capacity that no run uses. A resource may be negative.
	Free modeler.Resources
}

// Demand is what decides on the places of a task.
type Demand struct {
	Pool modeler.PoolName
	// Label is one that the worker must have, empty for none.
	Label string
	Needs modeler.Resources
	// MaxPerWorker is the maximum number of tasks of the step on one worker, zero for no limit.
	MaxPerWorker int
	// Together is the number of tasks that have to start together: those of a gang, otherwise 1.
	Together int
}

// needed returns the number of places from which there is room.
func (dm *Demand) needed() int64 { return placesPerTask * int64(dm.Together) }

// Group is the waiting tasks with the same demand, over all looks during which there are any.
type Group struct {
	Demand Demand
	// Running returns the number of runs of the step on a worker. It is called only with MaxPerWorker.
	Running func(modeler.WorkerID) int
	// Places is the number of places that the last look found. No more than there have to be are counted.
	Places int64
	// roomSince is when looks first found room, without a gap of more than maxRoomGap since, zero while there is none.
	// roomAt is when one last did.
	roomSince, roomAt time.Time
	// lookedAt is when the group was last examined, zero before.
	lookedAt time.Time
}

// Look examines the groups and returns how many it left out. Those with room go first, so that what is known of them
// goes on, then those that were not examined for longest. A look that leaves a group out finds no room for it.
func Look(groups []*Group, workers []Worker, now time.Time) int {
	limit := max(minDemands, maxExamined/max(1, len(workers)))
	if len(groups) > limit {
		slices.SortFunc(groups, compareGroups)
	}
	for ix, gr := range groups {
		gr.Places = 0
		if ix < limit {
			gr.lookedAt, gr.Places = now, gr.count(workers)
		}
		gr.noteRoom(now)
	}
	return max(0, len(groups)-limit)
}

// noteRoom notes whether a look found room.
func (gr *Group) noteRoom(now time.Time) {
	found := gr.Places >= gr.Demand.needed()
	switch {
	case !found && now.Sub(gr.roomAt) > maxRoomGap:
		gr.roomSince = time.Time{}
	case found && gr.roomSince.IsZero():
		gr.roomSince = now
	}
	if found {
		gr.roomAt = now
	}
}

func compareGroups(one, two *Group) int {
	switch {
	case one.roomSince.IsZero() && two.roomSince.IsZero():
		return one.lookedAt.Compare(two.lookedAt)
	case one.roomSince.IsZero():
		return 1
	case two.roomSince.IsZero():
		return -1
	}
	return one.roomSince.Compare(two.roomSince)
}

// count returns the number of places, up to the needed ones.
func (gr *Group) count(workers []Worker) int64 {
	dm, places := &gr.Demand, int64(0)
	for ix := range workers {
		wk := &workers[ix]
		// Most workers of a full pool fail here, where a look costs least.
		if !dm.Needs.Fits(wk.Free) || wk.Info.Pool != dm.Pool || !wk.Info.HasLabel(dm.Label) {
			continue
		}
		fits := placer.FitCount(dm.Needs, wk.Free)
		if dm.MaxPerWorker > 0 {
			fits = min(fits, int64(max(0, dm.MaxPerWorker-gr.Running(wk.Info.ID))))
		}
		if places += fits; places >= dm.needed() {
			return dm.needed()
		}
	}
	return places
}

// HasRoom reports whether a look found room for the group within the last maxRoomGap. It is false for nil.
func (gr *Group) HasRoom() bool { return gr != nil && !gr.roomSince.IsZero() }

// StalledSince returns since when a task of a group that has room has been stalled without a break, if it waits since
// the given time.
func (gr *Group) StalledSince(waits time.Time) time.Time {
	if waits.After(gr.roomSince) {
		return waits
	}
	return gr.roomSince
}

// ReportDue reports whether a stall is to be reported that was last reported at a time, zero for never.
func ReportDue(since, reported, now time.Time) bool {
	if reported.Before(since) {
		return now.Sub(since) >= firstReport
	}
	return now.Sub(reported) >= reportInterval
}
